package org.cowsliplatch.internal.entry;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.proxy.SteeringHandler;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Planned stop within a grace period: requests are served at first, then new ones are rejected, then everything is
 * closed.
 *
 * <p>Callers cache the directory's answers for several seconds, so requests are served for the first part of the grace
 * period. After that none is accepted, since it might not complete before the process has to exit.
 */
final class GracefulStop implements Runnable {
    private static final long STEP_MS = 25;
    /** Fraction of the grace period in which requests are still served. */
    private static final double SERVING_SHARE = 0.55;
    /** Time at the end of the grace period that is reserved for closing listeners and connections. */
    private static final Duration CLOSE_TIME = Duration.ofMillis(500);

    private final long startNanos;
    private final long graceNanos;
    private final Ticker ticker;
    private final SteeringHandler steering;
    private final ScheduledExecutorService timers;
    private final Runnable onEnd;

    GracefulStop(
            Duration grace, Ticker ticker, SteeringHandler steering, ScheduledExecutorService timers, Runnable onEnd) {
        this.startNanos = ticker.nanos();
        this.graceNanos = grace.toNanos();
        this.ticker = ticker;
        this.steering = steering;
        this.timers = timers;
        this.onEnd = onEnd;
    }

    @Override
    public void run() {
        long elapsed = ticker.nanos() - startNanos;
        boolean rejecting = elapsed > graceNanos * SERVING_SHARE;
        if (rejecting) {
            steering.refuseNew();
        }
        boolean graceOver = elapsed > graceNanos - CLOSE_TIME.toNanos();
        if (graceOver) {
            onEnd.run();
            return;
        }
        var unused = timers.schedule(this, STEP_MS, TimeUnit.MILLISECONDS);
    }
}
