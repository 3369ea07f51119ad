/** Idempotency keys: a request with a key runs at most once. */
@NullMarked
package org.cowsliplatch.internal.once;

import org.jspecify.annotations.NullMarked;
