/** Components of an entry instance, wired together. */
@NullMarked
package org.cowsliplatch.internal.entry;

import org.jspecify.annotations.NullMarked;
