package org.cowsliplatch.internal.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Tells callers that come back after a refusal from new ones by the time that they still have.
 *
 * <p>The load it answers: more requests than can be answered in time, of which half are second tries. A second try is
 * mostly late whatever is done, and treated as new it takes the slot of a request that could still be in time. Callers
 * of a route allow similar times at first, so one with clearly less has been here before; refused callers are asked to
 * stay away long enough for that to show. Safe for use by several threads.
 */
public final class CallerRetryEstimator implements RetryAfterPolicy {
    /** Share of the longest time limit of a route that every new caller has; the users' callers differ by a fifth. */
    private static final double LEAST_NEW = 0.79;
    /** Mean share of the longest time limit that new callers have. */
    private static final double MEAN_NEW = 0.9;
    /** Least delay of a return, as a share of the longest limit: what lies between a new caller's limits, and a bit. */
    private static final double LEAST_DELAY = 0.22;
    /** Longest delay as a share of the longest limit; callers honour up to a third of what they have left. */
    private static final double MOST_DELAY = 0.265;
    /** Requests after which a longest limit that was not seen again is forgotten, so that one odd caller is. */
    private static final int WINDOW = 256;

    /** The longest limits in ms of the requests counted now, and of as many before them. */
    private record Limits(long longest, long before, int count) {
        static final Limits NONE = new Limits(0, 0, 0);

        long most() {
            return Math.max(longest, before);
        }

        Limits with(long limit) {
            return count < WINDOW
                    ? new Limits(Math.max(longest, limit), before, count + 1)
                    : new Limits(limit, longest, 1);
        }
    }

    private final Map<String, Limits> limits = new ConcurrentHashMap<>();
    private final DoubleSupplier random;

    /**
     * Creates a policy that knows no limits yet.
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
        double most = limits.merge(route, Limits.NONE.with(limitMs), (known, first) -> known.with(limitMs))
                .most();
        return limitMs >= most * LEAST_NEW ? Duration.ZERO : Duration.ofMillis((long) (most * MEAN_NEW) - limitMs);
    }

    @Override
    public Duration delay(String route, long limitMs) {
        double most = Math.max(limitMs, limits.getOrDefault(route, Limits.NONE).most());
        double share = LEAST_DELAY + (MOST_DELAY - LEAST_DELAY) * random.getAsDouble();
        return most <= 0 ? UNKNOWN_LIMITS.delay(route, limitMs) : Duration.ofMillis((long) (most * share));
    }
}
