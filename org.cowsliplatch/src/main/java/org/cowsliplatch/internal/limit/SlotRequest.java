package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.List;
import org.cowsliplatch.table.Rank;

/**
 * A request of an entry instance for one slot of a group.
 *
 * @param holder entry instance that sent the request
 * @param id id, unique among the requests of the holder
 * @param zone availability zone of the holder
 * @param sinceNanos time in ns at which the request began to wait, on the grantor's clock
 * @param requirements what the slot must satisfy, with times on the grantor's clock
 */
public record SlotRequest(String holder, long id, String zone, long sinceNanos, Requirements requirements) {
    /**
     * Constraints and preferences of a request for a slot.
     *
     * @param rank urgency
     * @param dueNanos time in ns by which the response should be there (latency target)
     * @param deadlineNanos time in ns after which a response is of no use
     * @param avoid ids of endpoints on which earlier attempts of the request failed
     * @param object affinity key: the object that the request concerns, for endpoints that cache recent objects; empty
     *     for no affinity
     */
    public record Requirements(Rank rank, long dueNanos, long deadlineNanos, List<String> avoid, String object) {
        /** Copies the list of ids. */
        public Requirements {
            avoid = List.copyOf(avoid);
        }

        /** Returns these requirements with one more endpoint to avoid. */
        Requirements avoiding(String endpointId) {
            List<String> extended = new ArrayList<>(avoid);
            extended.add(endpointId);
            return new Requirements(rank, dueNanos, deadlineNanos, extended, object);
        }

        /** Returns requirements without affinity, whose latency target is the deadline. */
        public static Requirements of(Rank rank, long deadlineNanos) {
            return new Requirements(rank, deadlineNanos, deadlineNanos, List.of(), "");
        }
    }

    public Rank rank() {
        return requirements.rank();
    }

    long deadlineNanos() {
        return requirements.deadlineNanos();
    }

    /** Returns whether the request has a latency target before its deadline, or an affinity key. */
    boolean hasTargetOrAffinity() {
        return requirements.dueNanos() < requirements.deadlineNanos()
                || !requirements.object().isEmpty();
    }

    /** Returns the time in ns from the start of the wait to the deadline. */
    long budgetNanos() {
        return deadlineNanos() - sinceNanos;
    }
}
