package org.cowsliplatch.internal.limit;

import java.util.Optional;

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
     * @param rateBound rate that the limits of the endpoints allow, if they are the reason
     */
    record Refused(SlotRequest request, Refusal why, Optional<RateBound> rateBound) implements SlotDecision {
        /** Creates a refusal for a reason other than the limits of the endpoints. */
        public Refused(SlotRequest request, Refusal why) {
            this(request, why, Optional.empty());
        }
    }
}
