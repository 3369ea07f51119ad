/** Implementations of the platform interfaces over HTTP and JSON. */
@NullMarked
package org.cowsliplatch.internal.platform;

import org.jspecify.annotations.NullMarked;
