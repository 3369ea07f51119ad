package org.cowsliplatch.internal.limit;

import java.time.Duration;

/** Sets the delay after which refused callers should retry, and recognizes requests that are such retries. */
public interface RetryAfterPolicy {
    /** Policy for callers without a known time limit: they retry after 1 s, and each request counts as a first one. */
    RetryAfterPolicy UNKNOWN_LIMITS = new RetryAfterPolicy() {
        @Override
        public Duration sinceFirst(String route, long limitMs) {
            return Duration.ZERO;
        }

        @Override
        public Duration delay(String route, long limitMs) {
            return Duration.ofSeconds(1);
        }
    };

    /**
     * Estimates how long ago the caller first sent a request that has just arrived; zero for a first attempt.
     *
     * @param route name of the route
     * @param limitMs time limit of the caller in ms, or -1 if it gave none
     */
    Duration sinceFirst(String route, long limitMs);

    /**
     * Returns the delay after which a refused caller should retry.
     *
     * @param route name of the route
     * @param limitMs time limit of the caller in ms, or -1 if it gave none
     */
    Duration delay(String route, long limitMs);
}
