package org.cowsliplatch.internal.proxy;

import org.cowsliplatch.internal.limit.SlotOutcome;

/**
 * Failure of one attempt: no response that may be passed to the caller, or only a part of one.
 *
 * @param kind kind of failure
 * @param detail human-readable reason
 */
record AttemptFailure(Kind kind, String detail) {
    /** Kinds of failure, and what each implies for the request and for the endpoint. */
    enum Kind {
        /** The connection was refused, so nothing was sent. */
        CONNECTION_REFUSED(true, SlotOutcome.REFUSED),
        /** No connection was established, so nothing was sent. */
        NOT_SENT(true, SlotOutcome.UNREACHABLE),
        /** Bytes arrived on the connection before the request was sent, which then was not. */
        UNSOLICITED_BYTES(true, SlotOutcome.CUT),
        /** The backend server rejected the request without executing it. */
        SHED(true, SlotOutcome.SHED),
        /** The backend server rejected the request without executing it, since it is leaving. */
        LEAVING(true, SlotOutcome.LEAVING),
        /** The address now belongs to another endpoint, which did not execute the request (status 421). */
        WRONG_ENDPOINT(true, SlotOutcome.LEAVING),
        /** The response belongs to another request, or was not sent by the endpoint. */
        FOREIGN_ANSWER(false, SlotOutcome.CUT),
        /** The status implies that the request was not executed, but the header that proves it is missing. */
        BROKEN_PROMISE(false, SlotOutcome.FAILED),
        /** The endpoint executed an idempotent request and responded with a 5xx status. */
        FAILED_ANSWER(false, SlotOutcome.FAILED),
        /** A second response follows in a body that ends with the connection, so that the end of the first is not known. */
        SECOND_RESPONSE(false, SlotOutcome.CUT),
        /** The connection was closed or reset. */
        CUT(false, SlotOutcome.CUT),
        /** The attempt timed out. */
        TIMED_OUT(false, SlotOutcome.TIMED_OUT),
        /** The caller's request body was truncated or too long. */
        BODY_FAILED(false, SlotOutcome.CANCELLED),
        /** The caller disconnected. */
        CANCELLED(false, SlotOutcome.CANCELLED);

        private final boolean provenNotRun;
        private final SlotOutcome slotOutcome;

        Kind(boolean provenNotRun, SlotOutcome slotOutcome) {
            this.provenNotRun = provenNotRun;
            this.slotOutcome = slotOutcome;
        }

        /** Returns whether the failure proves that the attempt was not executed and will not be. */
        boolean isProvenNotRun() {
            return provenNotRun;
        }

        /** Returns whether the attempt failed before anything was sent to an endpoint. */
        boolean isUnsent() {
            return this == CONNECTION_REFUSED || this == NOT_SENT || this == UNSOLICITED_BYTES;
        }

        /** Returns whether the response that was rejected came from the endpoint that the request was sent to. */
        boolean isFromEndpoint() {
            return this == SHED || this == LEAVING || this == BROKEN_PROMISE || this == FAILED_ANSWER;
        }

        /** Returns the outcome to report when the slot is released. */
        SlotOutcome slotOutcome() {
            return slotOutcome;
        }

        /** Returns whether another attempt could succeed. */
        boolean isRetryable() {
            return this != BODY_FAILED && this != CANCELLED;
        }
    }
}
