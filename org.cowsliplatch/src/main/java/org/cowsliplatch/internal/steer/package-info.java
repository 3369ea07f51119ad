/** Choice of entry instance, region and endpoint. */
@NullMarked
package org.cowsliplatch.internal.steer;

import org.jspecify.annotations.NullMarked;
