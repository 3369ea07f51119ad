/** Checked exceptions of the public API, one family for each layer. */
@NullMarked
package org.cowsliplatch.errors;

import org.jspecify.annotations.NullMarked;
