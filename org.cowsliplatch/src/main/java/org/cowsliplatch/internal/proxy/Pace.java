package org.cowsliplatch.internal.proxy;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.link.LinkId;
import org.cowsliplatch.internal.link.LinkPacer;

/**
 * Pace of one flow on a link between regions.
 *
 * @param pacer budget of all links
 * @param link link
 * @param timers threads for delays
 */
record Pace(LinkPacer pacer, LinkId link, ScheduledExecutorService timers) {
    /** Charges bytes, then runs an action when the next ones may flow. */
    void charge(long bytes, Runnable next) {
        runAfter(pacer.charge(link, bytes), next);
    }

    /** Runs an action at once, or after a delay in ns. */
    void runAfter(long delayNanos, Runnable action) {
        if (delayNanos <= 0) {
            action.run();
        } else {
            var unused = timers.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
        }
    }
}
