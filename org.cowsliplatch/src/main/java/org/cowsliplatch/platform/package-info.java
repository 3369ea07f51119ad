/** Narrow interfaces to the services that the platform gives. */
@NullMarked
package org.cowsliplatch.platform;

import org.jspecify.annotations.NullMarked;
