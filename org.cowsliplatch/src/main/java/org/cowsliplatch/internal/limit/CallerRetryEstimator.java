package org.cowsliplatch.internal.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Distinguishes retries of refused callers from first attempts by the remaining time limit of the caller.
 *
 * <p>Under overload, half of the requests may be retries. A retry mostly misses its latency target in any case, and if
 * it is treated as a first attempt it takes the slot of a request that could still meet its own. The callers of a route
 * start with similar time limits, so a clearly shorter one marks a retry; the retry delay for refused callers is long
 * enough for the difference to show. Safe for use by several threads.
 */
public final class CallerRetryEstimator implements RetryAfterPolicy {
    /** Minimum time limit of a first attempt, as a share of the longest of its route; callers' limits differ by a fifth. */
    private static final double MIN_NEW_SHARE = 0.79;
    /** Mean time limit of first attempts, as a share of the longest of the route. */
    private static final double MEAN_NEW_SHARE = 0.9;
    /** Minimum retry delay, as a share of the longest limit: the spread of first attempts' limits plus a margin. */
    private static final double MIN_DELAY_SHARE = 0.22;
    /** Maximum retry delay, as a share of the longest limit; callers honour up to a third of their remaining time. */
    private static final double MAX_DELAY_SHARE = 0.265;
    /** Number of requests after which a longest limit that did not recur expires, so that outliers do not persist. */
    private static final int WINDOW_REQUESTS = 256;

    /** Longest limits in ms in the current window of requests and in the previous one. */
    private record Limits(long longestMs, long previousLongestMs, int count) {
        static final Limits NONE = new Limits(0, 0, 0);

        long max() {
            return Math.max(longestMs, previousLongestMs);
        }

        Limits with(long limitMs) {
            return count < WINDOW_REQUESTS
                    ? new Limits(Math.max(longestMs, limitMs), previousLongestMs, count + 1)
                    : new Limits(limitMs, longestMs, 1);
        }
    }

    private final Map<String, Limits> limits = new ConcurrentHashMap<>();
    private final DoubleSupplier random;

    /**
     * Creates an estimator without samples.
     *
     * @param random uniform numbers from 0 to 1, safe for use by several threads
     */
    public CallerRetryEstimator(DoubleSupplier random) {
        this.random = random;
    }

    @Override
    public Duration sinceFirst(String route, long limitMs) {
        if (limitMs < 0) {
            return Duration.ZERO;
        }
        double longestMs = limits.merge(route, Limits.NONE.with(limitMs), (known, unused) -> known.with(limitMs))
                .max();
        return limitMs >= longestMs * MIN_NEW_SHARE
                ? Duration.ZERO
                : Duration.ofMillis((long) (longestMs * MEAN_NEW_SHARE) - limitMs);
    }

    @Override
    public Duration delay(String route, long limitMs) {
        double longestMs =
                Math.max(limitMs, limits.getOrDefault(route, Limits.NONE).max());
        double share = MIN_DELAY_SHARE + (MAX_DELAY_SHARE - MIN_DELAY_SHARE) * random.getAsDouble();
        return longestMs <= 0 ? UNKNOWN_LIMITS.delay(route, limitMs) : Duration.ofMillis((long) (longestMs * share));
    }
}
