/** The entry instance as a whole. */
@NullMarked
package org.cowsliplatch.entry;

import org.jspecify.annotations.NullMarked;
