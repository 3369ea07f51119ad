package org.cowsliplatch.internal.limit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/**
 * Limits retries to a share of the first attempts; lock-free and safe for use by several threads.
 *
 * <p>Each first attempt deposits a fraction of a retry, up to a maximum balance, so that a pool which was idle can't
 * start with many retries.
 */
public final class RetryBudget {
    private static final long RETRY_COST = 1_000;
    private static final double DEFAULT_PER_REQUEST = 0.1;
    private static final double DEFAULT_MAX_BALANCE = 10;

    private final long depositPerRequest;
    private final DoubleSupplier maxBalance;
    private final AtomicLong balance;

    /** Creates a budget of one retry for each ten requests. */
    public RetryBudget() {
        this(DEFAULT_PER_REQUEST, () -> DEFAULT_MAX_BALANCE);
    }

    /**
     * Creates a budget with the maximum balance.
     *
     * @param perRequest retries that one first attempt deposits
     * @param maxBalance maximum balance, in retries
     */
    public RetryBudget(double perRequest, DoubleSupplier maxBalance) {
        this.depositPerRequest = (long) (perRequest * RETRY_COST);
        this.maxBalance = maxBalance;
        this.balance = new AtomicLong(limit());
    }

    /** Makes the deposit of a first attempt. */
    public void deposit() {
        long limit = limit();
        balance.updateAndGet(now -> Math.min(limit, now + depositPerRequest));
    }

    /** Withdraws one retry if the balance allows; returns whether it did. */
    public boolean tryWithdraw() {
        long now = balance.get();
        while (now >= RETRY_COST) {
            if (balance.compareAndSet(now, now - RETRY_COST)) {
                return true;
            }
            now = balance.get();
        }
        return false;
    }

    private long limit() {
        return (long) (maxBalance.getAsDouble() * RETRY_COST);
    }
}
