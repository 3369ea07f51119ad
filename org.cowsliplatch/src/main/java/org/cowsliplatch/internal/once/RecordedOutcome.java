package org.cowsliplatch.internal.once;

import java.util.List;

/** What is recorded of a key once its request has ended. */
public sealed interface RecordedOutcome {
    /** Returns the bytes that the record takes, about. */
    default int size() {
        return 0;
    }

    /**
     * The request ran and this was the answer.
     *
     * @param status HTTP status
     * @param headers names and values in turn
     * @param body content
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
     * @param detail reason, for a person
     */
    record NotRun(String detail) implements RecordedOutcome {}

    /**
     * It is not known whether the request ran, or its answer was not kept.
     *
     * @param detail reason, for a person
     */
    record Unknown(String detail) implements RecordedOutcome {}
}
