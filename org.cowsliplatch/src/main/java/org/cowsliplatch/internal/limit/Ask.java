package org.cowsliplatch.internal.limit;

import java.util.List;
import org.cowsliplatch.table.Rank;

/**
 * A request for one slot.
 *
 * @param holder entry instance that asks
 * @param id unique among the asks of the holder
 * @param rank urgency
 * @param zone availability zone of the holder
 * @param sinceNanos when the request began to wait, on the grantor's clock
 * @param deadlineNanos when the answer is due, on the grantor's clock
 * @param avoid ids of endpoints that failed this request before
 */
public record Ask(
        String holder, long id, Rank rank, String zone, long sinceNanos, long deadlineNanos, List<String> avoid) {
    /** Copies the ids. */
    public Ask {
        avoid = List.copyOf(avoid);
    }

    /** Returns the time in ns that the request had in all. */
    long budgetNanos() {
        return deadlineNanos - sinceNanos;
    }
}
