/** Assembly of an entry instance. */
@NullMarked
package org.cowsliplatch.internal.entry;

import org.jspecify.annotations.NullMarked;
