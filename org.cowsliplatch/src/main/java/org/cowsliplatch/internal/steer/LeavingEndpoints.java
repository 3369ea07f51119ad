package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Endpoints that are known to be leaving, from whatever source. Thread-safe.
 *
 * <p>Leaving is final for an incarnation of an endpoint: no later or older description and no response ends it. A new
 * incarnation has another id.
 */
public final class LeavingEndpoints {
    /** How this entry instance learned that an endpoint is leaving. */
    public enum Source {
        /** The endpoint said so in a response to a request of this entry instance. */
        RESPONSE,
        /** Another entry instance got such a response. */
        PEER,
        /** The platform's list of endpoints. */
        LIST
    }

    /**
     * What is known of the leaving of one endpoint.
     *
     * @param source how it was learned first
     * @param sinceNanos time in ns at which it was learned
     */
    public record Mark(Source source, long sinceNanos) {}

    /** Receives each endpoint that is marked, on the thread that reports it. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when an endpoint is marked for the first time.
         *
         * @param endpointId id of the endpoint
         * @param source how it was learned
         * @param from name of the entry instance that got the response, or empty
         */
        void leaving(String endpointId, Source source, String from);
    }

    /** Listener that ignores all endpoints. */
    public static final Listener NO_LISTENER = (endpointId, source, from) -> {};

    /** Maximum number of marks of endpoints that are not listed, which may be listed again by an outdated source. */
    private static final int MAX_UNLISTED = 1_024;

    private final Ticker ticker;
    private final Listener listener;
    /** Marks by id, oldest first. */
    private final Map<String, Mark> marks = new LinkedHashMap<>();

    private long revision;

    /** Creates an instance without marks. */
    public LeavingEndpoints(Ticker ticker, Listener listener) {
        this.ticker = ticker;
        this.listener = listener;
    }

    /**
     * Marks an endpoint.
     *
     * @param endpointId id of the endpoint
     * @param source how it was learned
     * @param from name of the entry instance that got the response, or empty
     */
    public void mark(String endpointId, Source source, String from) {
        synchronized (this) {
            if (marks.putIfAbsent(endpointId, new Mark(source, ticker.nanos())) != null) {
                return;
            }
            revision++;
        }
        listener.leaving(endpointId, source, from);
    }

    /** Returns whether an endpoint is known to be leaving. */
    public synchronized boolean contains(String endpointId) {
        return marks.containsKey(endpointId);
    }

    /** Returns what is known of the leaving of an endpoint. */
    public synchronized Optional<Mark> find(String endpointId) {
        return Optional.ofNullable(marks.get(endpointId));
    }

    /** Returns the number of marked endpoints. */
    public synchronized int size() {
        return marks.size();
    }

    /** Returns the ids of all marked endpoints. */
    public synchronized Set<String> ids() {
        return Set.copyOf(marks.keySet());
    }

    /** Returns a number that rises with each mark. */
    public synchronized long revision() {
        return revision;
    }

    /**
     * Returns the ids of the endpoints that announced their leaving to this entry instance.
     *
     * @param sinceNanos time in ns from which on they did
     * @param limit maximum number of ids; the latest are returned
     */
    public synchronized List<String> announcedSince(long sinceNanos, int limit) {
        List<String> ids = new ArrayList<>();
        marks.forEach((id, mark) -> {
            if (mark.source() == Source.RESPONSE && mark.sinceNanos() - sinceNanos >= 0) {
                ids.add(id);
            }
        });
        return List.copyOf(ids.subList(Math.max(0, ids.size() - limit), ids.size()));
    }

    /** Drops the oldest marks of endpoints that are not listed while there are too many of them. */
    synchronized void limitUnlisted(Collection<String> listedIds) {
        int excess = -MAX_UNLISTED;
        for (String id : marks.keySet()) {
            excess += listedIds.contains(id) ? 0 : 1;
        }
        Iterator<String> ids = marks.keySet().iterator();
        while (excess > 0 && ids.hasNext()) {
            if (!listedIds.contains(ids.next())) {
                ids.remove();
                excess--;
            }
        }
    }
}
