/** Checked exceptions of the public API, with one base class for each layer. */
@NullMarked
package org.cowsliplatch.errors;

import org.jspecify.annotations.NullMarked;
