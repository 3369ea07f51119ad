package org.cowsliplatch.internal.once;

import java.util.concurrent.CompletableFuture;

/** Answer of a ledger to a request with a key. */
public sealed interface KeyClaim {
    /**
     * The caller of the ledger runs the request and must complete the record, whatever happens.
     *
     * @param outcome result to complete
     */
    record Run(CompletableFuture<RecordedOutcome> outcome) implements KeyClaim {}

    /**
     * Another copy runs or ran.
     *
     * @param outcome result of that copy
     */
    record Duplicate(CompletableFuture<RecordedOutcome> outcome) implements KeyClaim {}

    /**
     * The key can't be run.
     *
     * @param reason reason
     */
    record Rejected(Rejection reason) implements KeyClaim {}

    /**
     * The keys of this domain are being handed to a successor; the request goes there next.
     *
     * @param successor name of the entry instance, once it has taken over
     */
    record Moved(CompletableFuture<String> successor) implements KeyClaim {}

    /** Reasons for which a key is not run. */
    enum Rejection {
        /** The prefix was not issued by its owner. */
        FORGED("the key was not made from a prefix that this system issued", true),
        /** The time in which a key may first be used is past; an earlier copy may have run. */
        WINDOW_PAST("the key is older than the time in which it may first be used", false),
        /** The key was used for another request. */
        OTHER_REQUEST("the key belongs to another request", false),
        /** There is no room for another record. */
        FULL("too many keys are recorded now", false);

        private final String text;
        private final boolean neverRuns;

        Rejection(String text, boolean neverRuns) {
            this.text = text;
            this.neverRuns = neverRuns;
        }

        /** Returns the reason as a sentence part for a person. */
        public String text() {
            return text;
        }

        /** Returns whether it is certain that no copy ran or will run. */
        public boolean neverRuns() {
            return neverRuns;
        }
    }
}
