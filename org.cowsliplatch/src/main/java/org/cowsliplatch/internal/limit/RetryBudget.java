package org.cowsliplatch.internal.limit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/**
 * Bounds repeated attempts to a share of the first ones; safe for use by several threads without a lock.
 *
 * <p>Each first attempt earns a part of a repeat, up to a limit, so that an idle pool has few in hand.
 */
public final class RetryBudget {
    private static final long REPEAT_COST = 1_000;
    private static final double USUAL_PER_REQUEST = 0.1;
    private static final double USUAL_MOST_KEPT = 10;

    private final long earned;
    private final DoubleSupplier mostKept;
    private final AtomicLong held;

    /** Creates a budget of a repeat for each ten requests. */
    public RetryBudget() {
        this(USUAL_PER_REQUEST, () -> USUAL_MOST_KEPT);
    }

    /**
     * Creates a budget that is full.
     *
     * @param perRequest repeats that one request earns
     * @param mostKept repeats that may be in hand
     */
    public RetryBudget(double perRequest, DoubleSupplier mostKept) {
        this.earned = (long) (perRequest * REPEAT_COST);
        this.mostKept = mostKept;
        this.held = new AtomicLong(limit());
    }

    /** Counts a first attempt. */
    public void deposit() {
        long limit = limit();
        held.updateAndGet(now -> Math.min(limit, now + earned));
    }

    /** Takes a repeat if one was earned; returns whether it did. */
    public boolean tryWithdraw() {
        long now = held.get();
        while (now >= REPEAT_COST) {
            if (held.compareAndSet(now, now - REPEAT_COST)) {
                return true;
            }
            now = held.get();
        }
        return false;
    }

    private long limit() {
        return (long) (mostKept.getAsDouble() * REPEAT_COST);
    }
}
