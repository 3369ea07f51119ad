package org.cowsliplatch.internal.limit;

/** What a grantor decided about one ask. */
public sealed interface SlotDecision {
    /** Returns the ask that was decided. */
    SlotRequest request();

    /**
     * The ask got a slot.
     *
     * @param request the request
     * @param endpoint endpoint to send the request to
     */
    record Granted(SlotRequest request, Endpoint endpoint) implements SlotDecision {}

    /**
     * The ask got no slot and waits no more.
     *
     * @param request the request
     * @param why reason
     */
    record Refused(SlotRequest request, Refusal why) implements SlotDecision {}
}
