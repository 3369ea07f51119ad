package org.cowsliplatch.internal.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds repeated attempts to a share of the first ones; safe for use by several threads without a lock.
 *
 * <p>Each first attempt earns a tenth of a repeat, up to a limit, so that an idle pool has few in hand.
 */
public final class RetryBudget {
    private static final long REPEAT_COST = 10;
    private static final long MOST_KEPT = 10 * REPEAT_COST;

    private final AtomicLong tenths = new AtomicLong(MOST_KEPT);

    /** Counts a first attempt. */
    public void earn() {
        long held = tenths.get();
        while (held < MOST_KEPT && !tenths.compareAndSet(held, held + 1)) {
            held = tenths.get();
        }
    }

    /** Takes a repeat if one was earned; returns whether it did. */
    public boolean trySpend() {
        long held = tenths.get();
        while (held >= REPEAT_COST) {
            if (tenths.compareAndSet(held, held - REPEAT_COST)) {
                return true;
            }
            held = tenths.get();
        }
        return false;
    }
}
