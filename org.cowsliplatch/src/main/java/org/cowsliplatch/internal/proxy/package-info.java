/** Proxies caller requests to endpoints: slot acquisition, attempts, retries, idempotency keys and responses. */
@NullMarked
package org.cowsliplatch.internal.proxy;

import org.jspecify.annotations.NullMarked;
