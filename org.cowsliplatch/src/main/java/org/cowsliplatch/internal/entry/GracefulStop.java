package org.cowsliplatch.internal.entry;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.proxy.ServingWindow;
import org.cowsliplatch.internal.proxy.SteeringHandler;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Planned stop within a grace period.
 *
 * <p>Until the directory's answers have expired, callers can't know of the stop, and all requests are served. After that,
 * a request is served if its deadline comes before the end of the stop, and refused at once otherwise, so that the end
 * cuts no request off.
 */
final class GracefulStop implements Runnable {
    /** Time before the end of the grace period at which everything is closed if no request is in flight. */
    private static final Duration CLOSE_TIME = Duration.ofMillis(500);
    /** The same if a request is in flight. */
    private static final Duration MIN_CLOSE_TIME = Duration.ofMillis(200);
    /** Time for sending the responses to requests that run until their deadline. */
    static final Duration RESPONSE_TIME = Duration.ofMillis(100);
    /** Time that the last answer of the directory, and a request sent because of it, may take on their way. */
    private static final Duration TRANSIT_TIME = Duration.ofMillis(500);

    private static final long STEP_MS = 25;

    private final Duration grace;
    private final Duration lookupTtl;
    private final Ticker ticker;
    private final SteeringHandler steering;
    private final ScheduledExecutorService timers;
    private final Runnable onEnd;
    private final long startNanos;

    /**
     * Creates a stop whose grace period begins now.
     *
     * @param grace time after which the process is killed
     * @param lookupTtl time for which callers use an answer of the directory
     * @param ticker clock
     * @param steering handler of the callers' requests
     * @param timers runs the steps of the stop
     * @param onEnd closes everything
     */
    GracefulStop(
            Duration grace,
            Duration lookupTtl,
            Ticker ticker,
            SteeringHandler steering,
            ScheduledExecutorService timers,
            Runnable onEnd) {
        this.grace = grace;
        this.lookupTtl = lookupTtl;
        this.ticker = ticker;
        this.steering = steering;
        this.timers = timers;
        this.onEnd = onEnd;
        this.startNanos = ticker.nanos();
    }

    /** Begins the stop. */
    void begin() {
        Duration any = lookupTtl.plus(TRANSIT_TIME);
        // Requests without a fitting deadline need a good part of the grace period to end.
        boolean isLongGrace = any.multipliedBy(2).compareTo(grace) <= 0;
        long endNanos =
                startNanos + grace.minus(MIN_CLOSE_TIME).minus(RESPONSE_TIME).toNanos();
        steering.leave(
                isLongGrace ? new ServingWindow(startNanos + any.toNanos(), endNanos) : ServingWindow.until(endNanos));
        timers.execute(this);
    }

    @Override
    public void run() {
        Duration left = grace.minusNanos(ticker.nanos() - startNanos);
        Duration closeTime = steering.inFlight() > 0 ? MIN_CLOSE_TIME : CLOSE_TIME;
        if (left.compareTo(closeTime) <= 0) {
            onEnd.run();
            return;
        }
        var unused = timers.schedule(this, STEP_MS, TimeUnit.MILLISECONDS);
    }
}
