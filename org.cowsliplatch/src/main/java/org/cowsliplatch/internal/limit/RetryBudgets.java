package org.cowsliplatch.internal.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.table.Rank;

/** Retry budgets by pool and rank. */
public final class RetryBudgets {
    private record Key(String pool, Rank rank) {}

    private final Map<Key, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** Returns the budget of a pool and rank. */
    public RetryBudget of(String pool, Rank rank) {
        return budgets.computeIfAbsent(new Key(pool, rank), key -> new RetryBudget());
    }
}
