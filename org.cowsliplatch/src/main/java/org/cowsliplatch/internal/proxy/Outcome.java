package org.cowsliplatch.internal.proxy;

/** What a caller is told of a request that got no answer. */
public enum Outcome {
    /** The request did not run and, if it had a key, never will. */
    NOT_RUN("not-run"),
    /** The request may have run, or may still run. */
    UNKNOWN("unknown"),
    /** The request may have run, which does no harm since it is idempotent. */
    FAILED("failed");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the value of the field {@code outcome}. */
    public String text() {
        return text;
    }
}
