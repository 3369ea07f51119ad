package org.cowsliplatch.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Failures that a stand-in is told to have; safe for use by several threads. */
public final class Faults {
    private volatile boolean away;
    private volatile long delayMs;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicInteger operationsToFail = new AtomicInteger();

    /** Makes every operation fail without effect, or ends that. */
    public void away(boolean isAway) {
        away = isAway;
    }

    /** Makes every operation slow. */
    public void delayMs(long millis) {
        delayMs = millis;
    }

    /** Loses the answers of the next writes after they took effect. */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /** Fails the next operations without effect. */
    public void failNext(int count) {
        operationsToFail.set(count);
    }

    /** Waits if told to be slow; returns whether the operation must fail without effect. */
    boolean failsBefore() {
        if (delayMs > 0) {
            sleep();
        }
        return away || takeOne(operationsToFail);
    }

    /** Returns whether the answer of an operation that took effect is lost. */
    boolean losesAnswer() {
        return takeOne(answersToLose);
    }

    private void sleep() {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean takeOne(AtomicInteger counter) {
        return counter.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
