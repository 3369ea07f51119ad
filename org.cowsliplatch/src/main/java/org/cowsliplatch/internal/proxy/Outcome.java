package org.cowsliplatch.internal.proxy;

/** Whether a request that failed was executed, as reported to the caller. */
public enum Outcome {
    /** The request was not executed and, if it had an idempotency key, never will be. */
    NOT_RUN("not-run"),
    /** The request may have been executed, or may still be. */
    UNKNOWN("unknown"),
    /** The request may have been executed; it is idempotent, so it can be repeated safely. */
    FAILED("failed");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the value of the field {@code outcome} in problem documents. */
    public String text() {
        return text;
    }
}
