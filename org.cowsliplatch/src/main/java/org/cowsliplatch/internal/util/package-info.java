/** Utilities shared by the internal packages. */
@NullMarked
package org.cowsliplatch.internal.util;

import org.jspecify.annotations.NullMarked;
