package org.cowsliplatch.internal.proxy;

import org.cowsliplatch.internal.limit.RetryBudget;

/** Decides whether a failed attempt is repeated. */
final class RetryPolicy {
    /** Least time in ms that must be left for another attempt. */
    private static final long LEAST_LEFT_MS = 5;

    /** Share of the time left that the first attempts at an idempotent request may take. */
    private static final double ATTEMPT_SHARE = 0.4;

    /** Most tries of a request, those that no endpoint saw included. */
    static final int MOST_TRIES = 6;

    private RetryPolicy() {}

    /**
     * Returns whether to try again; spends budget if so.
     *
     * @param result how the attempt ended
     * @param idempotent whether the request may run more than once
     * @param attempts attempts made so far
     * @param mostAttempts attempts that the route allows
     * @param leftMs time left in ms
     * @param budget budget of the pool and rank
     */
    static boolean repeat(
            AttemptResult.Kind result,
            boolean idempotent,
            int attempts,
            int mostAttempts,
            long leftMs,
            RetryBudget budget) {
        if (!result.isRepeatable() || attempts >= mostAttempts || leftMs < LEAST_LEFT_MS) {
            return false;
        }
        if (!idempotent && !result.isProvenNotRun()) {
            return false;
        }
        // A budget bounds what endpoints must bear; what none of them saw costs them nothing.
        return result.isUnseen() || budget.tryWithdraw();
    }

    /** Returns the longest time in ms for the next attempt, so that time remains for another where one is allowed. */
    static long attemptMs(boolean mayRepeat, int attempts, int mostAttempts, long leftMs) {
        boolean last = !mayRepeat || attempts + 1 >= mostAttempts;
        return Math.max(1, last ? leftMs : (long) (leftMs * ATTEMPT_SHARE));
    }
}
