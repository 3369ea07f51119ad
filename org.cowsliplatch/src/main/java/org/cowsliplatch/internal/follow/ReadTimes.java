package org.cowsliplatch.internal.follow;

import java.time.Duration;

/**
 * How long reads of the store may take, so that a change is in force in time although the read that would have delivered
 * it gets no answer.
 *
 * <p>The read is given up after {@code pollWait} and {@code answerTimeout}. What is left of the bound is for the next read,
 * on a new connection, and for applying the change.
 *
 * @param pollWait longest wait for a change in one read
 * @param answerTimeout time after the wait in which an answer is expected
 */
public record ReadTimes(Duration pollWait, Duration answerTimeout) {
    private static final double WAIT_SHARE = 0.5;
    private static final double ANSWER_SHARE = 0.2;

    /** Checks that both times are positive. */
    public ReadTimes {
        if (pollWait.isNegative() || pollWait.isZero() || answerTimeout.isNegative() || answerTimeout.isZero()) {
            throw new IllegalArgumentException("pollWait and answerTimeout are " + pollWait + " and " + answerTimeout
                    + ", expected positive times");
        }
    }

    /**
     * Returns the times for a bound.
     *
     * @param bound time in which a confirmed change must be in force
     */
    public static ReadTimes within(Duration bound) {
        return new ReadTimes(share(bound, WAIT_SHARE), share(bound, ANSWER_SHARE));
    }

    private static Duration share(Duration bound, double share) {
        return Duration.ofNanos((long) (bound.toNanos() * share));
    }
}
