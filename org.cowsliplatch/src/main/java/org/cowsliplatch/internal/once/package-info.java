/** Idempotency keys: a non-idempotent request runs at most once. */
@NullMarked
package org.cowsliplatch.internal.once;

import org.jspecify.annotations.NullMarked;
