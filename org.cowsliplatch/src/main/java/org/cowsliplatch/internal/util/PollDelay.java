package org.cowsliplatch.internal.util;

import java.util.random.RandomGenerator;

/** Waits between reads of a service: jittered, and doubled with each failure in a row up to a bound. */
public final class PollDelay {
    private static final int MOST_DOUBLINGS = 10;

    private final long periodMs;
    private final long longestMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates a delay without failures.
     *
     * @param periodMs mean wait in ms while all goes well
     * @param longestMs bound of the mean wait in ms
     * @param random source of jitter
     */
    public PollDelay(long periodMs, long longestMs, RandomGenerator random) {
        this.periodMs = periodMs;
        this.longestMs = longestMs;
        this.random = random;
    }

    /** Notes a read that was answered. */
    public void recordSuccess() {
        failures = 0;
    }

    /** Notes a read that failed; returns whether it is the first in a row. */
    public boolean recordFailure() {
        failures++;
        return failures == 1;
    }

    /** Returns the time in ms to wait before the next read, from half to one and a half times the mean. */
    public long nextMs() {
        long mean = Math.min(longestMs, periodMs << Math.min(failures, MOST_DOUBLINGS));
        return mean / 2 + random.nextLong(mean);
    }
}
