package org.cowsliplatch.internal.follow;

import java.time.Duration;

/** Time-out of answers that adapts to a slow store, which would otherwise never be read. Confined to one thread. */
public final class AnswerTimeout {
    /** Longest time-out to which slow answers raise it. */
    private static final Duration MAX_RAISED = Duration.ofSeconds(1);
    /** Factor on the time that an answer took, so that most answers of a slow store arrive in time. */
    private static final int MARGIN = 2;

    private final long minNanos;
    private final long maxNanos;
    private long nanos;

    /** Creates a time-out that is at its minimum. */
    public AnswerTimeout(Duration min) {
        this.minNanos = min.toNanos();
        this.maxNanos = Math.max(minNanos, MAX_RAISED.toNanos());
        this.nanos = minNanos;
    }

    /** Returns the present time-out. */
    public Duration current() {
        return Duration.ofNanos(nanos);
    }

    /** Records that no answer arrived in time: the next one gets twice as long. */
    public void expired() {
        nanos = Math.min(maxNanos, nanos * 2);
    }

    /** Records that an answer took so long. */
    public void answeredAfter(Duration time) {
        nanos = Math.max(minNanos, Math.min(maxNanos, time.toNanos() * MARGIN));
    }
}
