package org.cowsliplatch.internal.limit;

/**
 * Spreads the callers that a rate limit refuses over the time in which there will be room for them; guarded by the lock
 * of the grantor.
 */
final class ReturnSchedule {
    /** Latest return in ns from now; callers that would come later are spread over the same time once more. */
    private static final long HORIZON_NANOS = 5_000_000_000L;

    private double nextNanos = Double.NEGATIVE_INFINITY;

    /**
     * Returns the time in ns from now after which the next refused caller should return.
     *
     * @param now present time in ns
     * @param backlogNanos time in ns until the requests that are queued now have been sent
     * @param intervalNanos time in ns between two requests, infinite if none can be sent
     */
    long next(long now, double backlogNanos, double intervalNanos) {
        if (!(intervalNanos < HORIZON_NANOS)) {
            return HORIZON_NANOS;
        }
        double earliest = now + Math.min(backlogNanos, HORIZON_NANOS);
        nextNanos = Math.max(nextNanos, earliest) + intervalNanos;
        if (nextNanos > now + HORIZON_NANOS) {
            nextNanos = earliest + intervalNanos;
        }
        return Math.min(HORIZON_NANOS, (long) (nextNanos - now));
    }
}
