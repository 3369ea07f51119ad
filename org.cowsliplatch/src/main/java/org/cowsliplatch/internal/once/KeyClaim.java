package org.cowsliplatch.internal.once;

import java.util.concurrent.CompletableFuture;

/** Result of claiming a key in a {@link KeyLedger}. */
public sealed interface KeyClaim {
    /**
     * The key is new: the claimant runs the request and must complete the outcome in every case.
     *
     * @param outcome outcome to complete
     */
    record Run(CompletableFuture<RecordedOutcome> outcome) implements KeyClaim {}

    /**
     * Another copy of the request is running or has run.
     *
     * @param outcome outcome of that copy
     */
    record Duplicate(CompletableFuture<RecordedOutcome> outcome) implements KeyClaim {}

    /**
     * The request must not run under this key.
     *
     * @param reason why the key was rejected
     */
    record Rejected(Rejection reason) implements KeyClaim {}

    /**
     * The keys of this domain are being handed over to a successor, to which the request must be forwarded.
     *
     * @param successor name of the successor, completed once it has taken over
     */
    record Moved(CompletableFuture<String> successor) implements KeyClaim {}

    /** Why a key was rejected. */
    enum Rejection {
        /** The prefix was not issued by the owner that it names. */
        FORGED("the key was not made from a prefix that this system issued", true),
        /** The first-use window of the key has passed; an earlier copy may have run. */
        WINDOW_PAST("the period in which the key may first be used has passed", false),
        /** The key was used for another request. */
        OTHER_REQUEST("the key belongs to another request", false),
        /** The memory for records is used up. */
        FULL("the memory for key records is full", false);

        private final String text;
        private final boolean neverRuns;

        Rejection(String text, boolean neverRuns) {
            this.text = text;
            this.neverRuns = neverRuns;
        }

        /** Returns the reason as a clause for the detail of an error response. */
        public String text() {
            return text;
        }

        /** Returns whether it is certain that no copy has run or will run. */
        public boolean neverRuns() {
            return neverRuns;
        }
    }
}
