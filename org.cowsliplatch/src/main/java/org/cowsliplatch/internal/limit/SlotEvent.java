package org.cowsliplatch.internal.limit;

/** What a grantor decided about one ask. */
public sealed interface SlotEvent {
    /** Returns the ask that was decided. */
    Ask ask();

    /**
     * The ask got a slot.
     *
     * @param ask the ask
     * @param endpoint endpoint to send the request to
     */
    record Granted(Ask ask, Endpoint endpoint) implements SlotEvent {}

    /**
     * The ask got no slot and waits no more.
     *
     * @param ask the ask
     * @param why reason
     */
    record Refused(Ask ask, Refusal why) implements SlotEvent {}
}
