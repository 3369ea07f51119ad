package org.cowsliplatch.internal.follow;

import java.time.Duration;
import java.util.List;

/**
 * How long reads of the store may take, so that a change is in force in time although the read that would have delivered
 * it gets no answer.
 *
 * <p>A read that gets no answer is given up after {@code pollWait} and {@code answerTimeout}. What is left of the bound is
 * for the next read, on a new connection, and for applying the change.
 *
 * @param pollWait longest wait for a change in one read
 * @param answerTimeout time after the wait in which an answer is expected
 * @param relayTimeout time without news of the store from those who read it for others, after which an entry instance
 *     reads it itself
 */
public record ReadTimes(Duration pollWait, Duration answerTimeout, Duration relayTimeout) {
    /** Shortest outage in which rows of live servers expire: three of their heartbeats, the first of which was before it. */
    private static final Duration MIN_ROW_EXPIRY = Duration.ofSeconds(3);

    private static final double WAIT_SHARE = 0.5;
    private static final double ANSWER_SHARE = 0.2;
    /** More than the wait, after which news is relayed also if nothing has changed. */
    private static final double RELAY_SHARE = 0.6;

    /** Checks that all times are positive. */
    public ReadTimes {
        for (Duration time : List.of(pollWait, answerTimeout, relayTimeout)) {
            if (time.isNegative() || time.isZero()) {
                throw new IllegalArgumentException("a time is " + time + ", expected a positive one");
            }
        }
    }

    /**
     * Returns the times for a bound.
     *
     * @param bound time in which a confirmed change must be in force
     */
    public static ReadTimes within(Duration bound) {
        return new ReadTimes(share(bound, WAIT_SHARE), share(bound, ANSWER_SHARE), share(bound, RELAY_SHARE));
    }

    /**
     * Returns the time without an answer above which the store itself was away, so that rows may have expired meanwhile. A
     * read that was lost with its connection takes less.
     */
    public Duration minOutage() {
        Duration longerThanLostRead = pollWait.plus(answerTimeout).plus(answerTimeout.dividedBy(4));
        return longerThanLostRead.compareTo(MIN_ROW_EXPIRY) < 0 ? longerThanLostRead : MIN_ROW_EXPIRY;
    }

    private static Duration share(Duration bound, double share) {
        return Duration.ofNanos((long) (bound.toNanos() * share));
    }
}
