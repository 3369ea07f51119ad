package org.cowsliplatch.internal.util;

import java.util.random.RandomGenerator;

/** Delay between polls of a service: jittered, with exponential back-off on consecutive failures up to a limit. */
public final class PollDelay {
    private static final int MAX_DOUBLINGS = 10;

    private final long periodMs;
    private final long maxMs;
    private final RandomGenerator random;
    private int consecutiveFailures;

    /**
     * Creates a delay with no failures recorded.
     *
     * @param periodMs mean delay in ms without failures
     * @param maxMs upper limit of the mean delay in ms
     * @param random source of jitter
     */
    public PollDelay(long periodMs, long maxMs, RandomGenerator random) {
        this.periodMs = periodMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Records a successful poll; resets the back-off. */
    public void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Records a failed poll; returns whether it is the first of consecutive failures. */
    public boolean recordFailure() {
        consecutiveFailures++;
        return consecutiveFailures == 1;
    }

    /** Returns the delay in ms before the next poll, between 0.5 and 1.5 times the mean. */
    public long nextMs() {
        long meanMs = Math.min(maxMs, periodMs << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        return meanMs / 2 + random.nextLong(meanMs);
    }
}
