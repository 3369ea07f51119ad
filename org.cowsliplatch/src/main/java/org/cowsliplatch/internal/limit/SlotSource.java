package org.cowsliplatch.internal.limit;

/** Gives out slots of endpoints to requests of this entry instance. */
public interface SlotSource {
    /** Called once, with either result, on any thread. */
    interface SlotCallback {
        /** The request may be sent to the endpoint of the lease. */
        void granted(Lease lease);

        /** The request gets no slot; nothing of it was sent. */
        void refused(Refusal why);
    }

    /** A request that waits. */
    interface PendingSlot {
        /** Gives the wait up; the waiter may still be called if a slot came at the same moment. */
        void cancel();
    }

    /** A slot in use. */
    interface Lease {
        /** Returns the endpoint whose slot this is. */
        Endpoint endpoint();

        /** Gives the slot back; calls after the first have no effect. */
        void release(SlotOutcome outcome);
    }

    /**
     * Asks for a slot.
     *
     * @param group group of endpoints
     * @param want what the request needs, with moments on this entry instance's clock
     * @param waiter told of the result, possibly before this call returns
     */
    PendingSlot acquire(GroupId group, SlotRequest.Requirements want, SlotCallback waiter);
}
