package org.cowsliplatch.internal.proxy;

/**
 * Time in which an entry instance that is stopping still serves new requests; times are in ns of the ticker.
 *
 * @param anyUntilNanos time until which any request is served, whatever its deadline
 * @param endNanos time by which all other requests must be answered
 */
public record ServingWindow(long anyUntilNanos, long endNanos) {
    /** Returns a window in which a request is served only if it must be answered by a given time. */
    public static ServingWindow until(long endNanos) {
        return new ServingWindow(Long.MIN_VALUE, endNanos);
    }

    /** Returns whether a request that arrives now is served. */
    boolean admits(long nowNanos, long deadlineNanos) {
        return nowNanos < anyUntilNanos || deadlineNanos <= endNanos;
    }
}
