package org.cowsliplatch.internal.limit;

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
 */
public record Ask(String holder, long id, Rank rank, String zone, long sinceNanos, long deadlineNanos) {
    /** Returns the time in ns that the request had in all. */
    long budgetNanos() {
        return deadlineNanos - sinceNanos;
    }
}
