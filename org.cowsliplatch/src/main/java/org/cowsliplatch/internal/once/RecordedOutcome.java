package org.cowsliplatch.internal.once;

import java.util.List;

/** Recorded outcome of a request with an idempotency key. */
public sealed interface RecordedOutcome {
    /** Returns the approximate size of the recorded content in bytes. */
    default int size() {
        return 0;
    }

    /**
     * The request ran and was answered.
     *
     * @param status HTTP status
     * @param headers names and values, alternating
     * @param body content of the answer
     */
    record Answer(int status, List<String> headers, byte[] body) implements RecordedOutcome {
        /** Copies the headers. */
        public Answer {
            headers = List.copyOf(headers);
        }

        @Override
        public int size() {
            return body.length;
        }
    }

    /**
     * The request did not run and never will.
     *
     * @param detail reason, for the detail of an error response
     */
    record NotRun(String detail) implements RecordedOutcome {}

    /**
     * It is unknown whether the request ran, or its answer was not kept.
     *
     * @param detail reason, for the detail of an error response
     */
    record Unknown(String detail) implements RecordedOutcome {}
}
