package org.cowsliplatch.internal.limit;

/** A decision of a grantor on one request for a slot. */
public sealed interface SlotDecision {
    /** Returns the request that was decided. */
    SlotRequest request();

    /**
     * The request was granted a slot.
     *
     * @param request the request
     * @param endpoint endpoint to send the request to
     */
    record Granted(SlotRequest request, Endpoint endpoint) implements SlotDecision {}

    /**
     * The request was refused and is no longer queued.
     *
     * @param request the request
     * @param why reason
     */
    record Refused(SlotRequest request, Refusal why) implements SlotDecision {}
}
