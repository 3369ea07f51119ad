package org.cowsliplatch.internal.limit;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowsliplatch.internal.util.Ticker;
import org.jspecify.annotations.Nullable;

/** The rate limits that endpoints have named, as far as this entry instance knows; safe for use by several threads. */
public final class EndpointLimits {
    /** Receives each change of a limit, on the thread that reports it. */
    public interface Listener {
        /**
         * Called when an endpoint names a limit for the first time, or another one.
         *
         * @param endpointId id of the endpoint
         * @param perSecond limit in requests per second
         * @param source entry instance that got the response
         */
        void limitNamed(String endpointId, double perSecond, String source);

        /**
         * Called when an endpoint has no limit any more.
         *
         * @param endpointId id of the endpoint
         * @param source entry instance that got the response
         */
        void limitEnded(String endpointId, String source);
    }

    /** Listener that ignores all changes. */
    public static final Listener NO_LISTENER = new Listener() {
        @Override
        public void limitNamed(String endpointId, double perSecond, String source) {}

        @Override
        public void limitEnded(String endpointId, String source) {}
    };

    /**
     * A limit in force.
     *
     * @param perSecond limit in requests per second
     * @param namedNanos time in ns of the latest response that named it
     */
    public record Limit(double perSecond, long namedNanos) {}

    /** Time in ns for which the limit of an endpoint that is no longer listed is kept. */
    private static final long UNLISTED_RETENTION_NANOS = 60_000_000_000L;

    private final Ticker ticker;
    private final Listener listener;
    private final Map<String, Limit> limits = new ConcurrentHashMap<>();
    private final AtomicInteger revision = new AtomicInteger();

    /** Creates an instance without limits. */
    public EndpointLimits(Ticker ticker, Listener listener) {
        this.ticker = ticker;
        this.listener = listener;
    }

    /**
     * Records what a response says; returns whether the limit changed.
     *
     * <p>Responses can overtake each other. One to a request that was sent before the present limit was last named may
     * lower it, but neither raise nor end it.
     *
     * @param endpointId id of the endpoint
     * @param notice what the response says
     * @param sentNanos time in ns at which the request was sent or granted its slot, or later
     * @param source entry instance that got the response
     */
    public synchronized boolean observe(String endpointId, LimitNotice notice, long sentNanos, String source) {
        Limit known = limits.get(endpointId);
        boolean isLatest = known == null || sentNanos - known.namedNanos() > 0;
        return switch (notice.kind()) {
            case UNKNOWN -> false;
            case ABSENT -> isLatest && end(endpointId, source);
            case NAMED ->
                (isLatest || known == null || notice.perSecond() <= known.perSecond())
                        && put(endpointId, new Limit(notice.perSecond(), ticker.nanos()), source);
        };
    }

    /**
     * Records what another entry instance knows; returns whether the limit changed.
     *
     * @param endpointId id of the endpoint
     * @param notice limit that the other instance knows
     * @param namedNanos time in ns at which the endpoint last named it
     * @param source the other entry instance
     */
    public synchronized boolean learn(String endpointId, LimitNotice notice, long namedNanos, String source) {
        Limit known = limits.get(endpointId);
        if (known != null && known.namedNanos() - namedNanos > 0) {
            return false;
        }
        return switch (notice.kind()) {
            case UNKNOWN -> false;
            case ABSENT -> end(endpointId, source);
            case NAMED -> put(endpointId, new Limit(notice.perSecond(), namedNanos), source);
        };
    }

    /** Returns a number that changes with each change of a limit. */
    public int revision() {
        return revision.get();
    }

    /** Returns the limit of an endpoint, or null if it has none. */
    public @Nullable Limit of(String endpointId) {
        return limits.get(endpointId);
    }

    /** Returns the number of endpoints that have a limit. */
    public int size() {
        return limits.size();
    }

    /** Forgets endpoints that are no longer listed, unless they named their limit recently: they may be listed again. */
    public void retain(Collection<String> listedIds) {
        long now = ticker.nanos();
        limits.entrySet()
                .removeIf(entry -> !listedIds.contains(entry.getKey())
                        && now - entry.getValue().namedNanos() > UNLISTED_RETENTION_NANOS);
    }

    private boolean put(String endpointId, Limit limit, String source) {
        Limit previous = limits.put(endpointId, limit);
        if (previous != null && previous.perSecond() == limit.perSecond()) {
            return false;
        }
        revision.incrementAndGet();
        listener.limitNamed(endpointId, limit.perSecond(), source);
        return true;
    }

    private boolean end(String endpointId, String source) {
        if (limits.remove(endpointId) == null) {
            return false;
        }
        revision.incrementAndGet();
        listener.limitEnded(endpointId, source);
        return true;
    }
}
