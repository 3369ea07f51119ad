package org.cowsliplatch.internal.limit;

import java.time.Duration;

/** When refused callers come back, and how those who did are told from new ones. */
public interface RetryAfterPolicy {
    /** Policy for callers that say nothing of their time: they come back after a second and count as new. */
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
     * Estimates how long ago a caller first sent a request that has just arrived.
     *
     * @param route name of the route
     * @param limitMs time in ms that the caller says it will wait, or -1 if it does not say
     */
    Duration sinceFirst(String route, long limitMs);

    /**
     * Returns the time after which a refused caller should come back.
     *
     * @param route name of the route
     * @param limitMs time in ms that the caller said it would wait, or -1 if it did not say
     */
    Duration delay(String route, long limitMs);
}
