/** Small stand-ins for the platform and for backend servers, for the demo and the tests. */
@NullMarked
package org.cowsliplatch.standin;

import org.jspecify.annotations.NullMarked;
