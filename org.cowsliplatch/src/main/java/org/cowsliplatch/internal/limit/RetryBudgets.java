package org.cowsliplatch.internal.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Retry budgets by pool. */
public final class RetryBudgets {
    /** Share of the bound that is used; the rest allows for counts taken at slightly different times. */
    private static final double USABLE_SHARE = 0.75;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Supplier<RetryBudget> factory;

    /** Creates budgets of the default size. */
    public RetryBudgets() {
        this.factory = RetryBudget::new;
    }

    /**
     * Creates budgets that are this entry instance's share of a bound on the whole system.
     *
     * @param perRequest retries that the bound allows for each request
     * @param slack additional retries that the bound allows in total
     * @param sharers entry instances among which the slack is divided
     */
    public RetryBudgets(double perRequest, double slack, DoubleSupplier sharers) {
        this.factory = () -> new RetryBudget(
                perRequest * USABLE_SHARE, () -> slack * USABLE_SHARE / Math.max(1, sharers.getAsDouble()));
    }

    /** Returns the budget of a pool. */
    public RetryBudget of(String pool) {
        return budgets.computeIfAbsent(pool, key -> factory.get());
    }
}
