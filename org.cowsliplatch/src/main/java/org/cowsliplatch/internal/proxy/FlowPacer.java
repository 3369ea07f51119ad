package org.cowsliplatch.internal.proxy;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.link.LinkId;
import org.cowsliplatch.internal.link.LinkPacer;

/**
 * Paces one flow of bytes over a link between regions.
 *
 * @param links pacer of all links, to which bytes are charged
 * @param link link that the flow uses
 * @param scheduler runs delayed actions
 */
record FlowPacer(LinkPacer links, LinkId link, ScheduledExecutorService scheduler) {
    /** Charges bytes to the link, then runs an action once the next bytes may be sent. */
    void charge(long bytes, Runnable next) {
        runAfter(links.charge(link, bytes), next);
    }

    /** Runs an action after a delay in ns, or on the calling thread if the delay is not positive. */
    void runAfter(long delayNanos, Runnable action) {
        if (delayNanos <= 0) {
            action.run();
        } else {
            var unused = scheduler.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
        }
    }
}
