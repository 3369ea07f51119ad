package org.cowsliplatch.internal.telemetry;

import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.internal.util.TokenBucket;

/**
 * Log with one JSON line for each decision that affects a request or changes the known state, for failure analysis.
 *
 * <p>The volume is limited: lines on successful requests are omitted and counted above one rate, all other lines above
 * a second, higher rate.
 */
public final class DecisionLog {
    /** Maximum rate of lines on requests that were served. */
    private static final double USUAL_LINES_PER_SECOND = 100;
    /** Maximum rate of all other lines. */
    private static final double NOTABLE_LINES_PER_SECOND = 300;
    /** Size of a burst, in seconds at the maximum rate. */
    private static final double BURST_S = 4;

    /** Class of a line, which determines its rate limit. */
    public enum Weight {
        /** A request that was served. */
        USUAL,
        /** A failure, a refusal or a change of the known state. */
        NOTABLE
    }

    private final String instance;
    private final InstantSource clock;
    private final Consumer<String> out;
    private final TokenBucket usual;
    private final TokenBucket notable;
    private final AtomicLong omitted = new AtomicLong();

    /**
     * Creates a log.
     *
     * @param instance name of this entry instance
     * @param clock wall clock for the time stamps
     * @param ticker monotonic clock for the rate limits
     * @param out receives the lines; must not block
     */
    public DecisionLog(String instance, InstantSource clock, Ticker ticker, Consumer<String> out) {
        this.instance = instance;
        this.clock = clock;
        this.out = out;
        this.usual = new TokenBucket(ticker, USUAL_LINES_PER_SECOND, USUAL_LINES_PER_SECOND * BURST_S);
        this.notable = new TokenBucket(ticker, NOTABLE_LINES_PER_SECOND, NOTABLE_LINES_PER_SECOND * BURST_S);
    }

    /** Returns a log that discards all lines. */
    public static DecisionLog none() {
        return new DecisionLog("", InstantSource.system(), Ticker.system(), line -> {});
    }

    /** Starts a line on an event. */
    public Line line(String event) {
        return new Line(event);
    }

    /** Builder of one line. */
    public final class Line {
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Line(String event) {
            fields.put("time", clock.instant().toString());
            fields.put("instance", instance);
            fields.put("event", event);
        }

        /** Adds a field: a string, number, boolean, or a list or map of these. */
        public Line with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        /** Writes the line, unless its rate limit is exceeded. */
        public void write(Weight weight) {
            TokenBucket bucket = weight == Weight.USUAL ? usual : notable;
            if (!bucket.tryTake(1)) {
                omitted.incrementAndGet();
                return;
            }
            long omittedBefore = omitted.getAndSet(0);
            if (omittedBefore > 0) {
                fields.put("omittedBefore", omittedBefore);
            }
            out.accept(Json.text(fields));
        }
    }
}
