package org.cowsliplatch.internal.proxy;

import org.cowsliplatch.internal.limit.RetryBudget;

/** Decides whether a failed attempt is retried, and how long each attempt may take. */
final class RetryPolicy {
    /** Minimum time in ms that must remain for another attempt. */
    private static final long MIN_REMAINING_MS = 5;

    /** Share of the remaining time that an attempt other than the last may take. */
    private static final double ATTEMPT_TIME_SHARE = 0.4;

    /** Maximum number of attempts at a request, including those that were never sent to an endpoint. */
    static final int MAX_TOTAL_ATTEMPTS = 6;

    private RetryPolicy() {}

    /**
     * Returns whether to retry; if so, takes one retry from the budget unless the attempt was never sent.
     *
     * @param failure how the last attempt failed
     * @param idempotent whether the request may be executed more than once
     * @param attempts number of attempts so far, without those that were never sent
     * @param maxAttempts maximum number of attempts that the route allows
     * @param remainingMs time in ms until the deadline
     * @param budget retry budget of the pool
     */
    static boolean shouldRetry(
            AttemptFailure.Kind failure,
            boolean idempotent,
            int attempts,
            int maxAttempts,
            long remainingMs,
            RetryBudget budget) {
        if (!failure.isRetryable() || attempts >= maxAttempts || remainingMs < MIN_REMAINING_MS) {
            return false;
        }
        if (!idempotent && !failure.isProvenNotRun()) {
            return false;
        }
        // The budget limits the load of retries on endpoints; an attempt that was never sent causes none.
        return failure.isUnsent() || budget.tryWithdraw();
    }

    /** Returns the timeout in ms of the next attempt, which leaves time for a further attempt where one is allowed. */
    static long attemptTimeoutMs(boolean retryable, int attempts, int maxAttempts, long remainingMs) {
        boolean last = !retryable || attempts + 1 >= maxAttempts;
        return Math.max(1, last ? remainingMs : (long) (remainingMs * ATTEMPT_TIME_SHARE));
    }
}
