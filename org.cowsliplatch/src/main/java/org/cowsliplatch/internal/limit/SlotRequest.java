package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.List;
import org.cowsliplatch.table.Rank;

/**
 * A request for one slot.
 *
 * @param holder entry instance that asks
 * @param id unique among the asks of the holder
 * @param zone availability zone of the holder
 * @param sinceNanos when the request began to wait, on the grantor's clock
 * @param requirements what is asked for, with moments on the grantor's clock
 */
public record SlotRequest(String holder, long id, String zone, long sinceNanos, Requirements requirements) {
    /**
     * What a request needs of its slot.
     *
     * @param rank urgency
     * @param dueNanos until when an answer has its full worth
     * @param deadlineNanos until when an answer is of use at all
     * @param avoid ids of endpoints that failed the request before
     * @param object what the request is about, where endpoints answer faster for objects that they handled lately;
     *     empty if that does not matter
     */
    public record Requirements(Rank rank, long dueNanos, long deadlineNanos, List<String> avoid, String object) {
        /** Copies the ids. */
        public Requirements {
            avoid = List.copyOf(avoid);
        }

        /** Returns this want with one more endpoint to avoid. */
        Requirements avoiding(String endpointId) {
            List<String> more = new ArrayList<>(avoid);
            more.add(endpointId);
            return new Requirements(rank, dueNanos, deadlineNanos, more, object);
        }

        /** Returns a want without preference for an endpoint, whose answer keeps its worth to the deadline. */
        public static Requirements of(Rank rank, long deadlineNanos) {
            return new Requirements(rank, deadlineNanos, deadlineNanos, List.of(), "");
        }
    }

    /** Returns the urgency. */
    public Rank rank() {
        return requirements.rank();
    }

    /** Returns when the answer is of no more use. */
    long deadlineNanos() {
        return requirements.deadlineNanos();
    }

    /** Returns whether the answer loses worth before its deadline, or is wanted from a certain endpoint. */
    boolean isAimed() {
        return requirements.dueNanos() < requirements.deadlineNanos()
                || !requirements.object().isEmpty();
    }

    /** Returns the time in ns that the request had in all. */
    long budgetNanos() {
        return deadlineNanos() - sinceNanos;
    }
}
