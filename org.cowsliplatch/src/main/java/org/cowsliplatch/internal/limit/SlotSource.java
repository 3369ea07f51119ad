package org.cowsliplatch.internal.limit;

/** Allocates slots of endpoints to requests of this entry instance. */
public interface SlotSource {
    /** Receives the result of a request for a slot: exactly one call, on any thread. */
    interface SlotCallback {
        /** Called when a slot was granted: the request may be sent to the endpoint of the lease. */
        void granted(Lease lease);

        /** Called when no slot was granted; no part of the request was sent. */
        void refused(Refusal why);

        /** Called instead of {@link #refused} when the rate limits of the endpoints are the reason. */
        default void refusedByRate(RateBound bound) {
            refused(Refusal.RATE_LIMITED);
        }
    }

    /** A request for a slot that is not decided yet. */
    interface PendingSlot {
        /** Cancels the request; the callback may still get a slot that was granted concurrently. */
        void cancel();
    }

    /** A granted slot. */
    interface Lease {
        /** Returns the endpoint of the slot. */
        Endpoint endpoint();

        /** Records what the response says about the rate limit of the endpoint; to be called before the release. */
        void limitNoticed(LimitNotice notice);

        /** Records that a response says that the endpoint is leaving; to be called before the release. */
        void leavingAnnounced();

        /** Releases the slot; calls after the first have no effect. */
        void release(SlotOutcome outcome);
    }

    /**
     * Requests a slot.
     *
     * @param group group of endpoints
     * @param requirements what the slot must satisfy, with times on this entry instance's clock
     * @param callback receives the result, possibly before this call returns
     */
    PendingSlot acquire(GroupId group, SlotRequest.Requirements requirements, SlotCallback callback);
}
