package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.EndpointRow;
import org.cowsliplatch.platform.Instance;
import org.jspecify.annotations.Nullable;

/**
 * What is believed of the endpoints, from the rows in which they describe themselves.
 *
 * <p>Descriptions may arrive late: one with an older sequence number or an older start is passed over. A row that
 * vanished while the store was away may come back with the store; the endpoint is kept for a while before it is taken
 * as gone. Guarded by its own lock.
 */
public final class EndpointBook {
    /** Time in ns after the store's return within which rows of live endpoints are back; the users' stated 2 s. */
    private static final long RETURN_NANOS = 2_000_000_000L;
    /** Difference in ns up to which two estimates of the end of a cold start are taken as the same. */
    private static final long SAME_COLD_NANOS = 400_000_000L;

    /** Endpoints that are remembered as gone; a grantor that does not know it yet learns it within seconds. */
    private static final int MOST_GONE = 512;

    private static final class Entry {
        EndpointRow.Description description;
        Instance instance;
        long missingSinceNanos = Long.MIN_VALUE;

        Entry(EndpointRow.Description description, Instance instance) {
            this.description = description;
            this.instance = instance;
        }
    }

    private final Map<String, String> regionOfZone;
    private final Ticker ticker;
    private final DecisionLog decisions;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    private final Set<String> gone = new LinkedHashSet<>();

    /**
     * Creates an empty book.
     *
     * @param regionOfZone region of each availability zone
     * @param ticker clock
     * @param decisions told of each change
     */
    public EndpointBook(Map<String, String> regionOfZone, Ticker ticker, DecisionLog decisions) {
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.ticker = ticker;
        this.decisions = decisions;
    }

    /** Takes over what the row of an endpoint says; returns whether anything changed. */
    public synchronized boolean describe(String name, EndpointRow row) {
        if (row instanceof EndpointRow.Unreadable bad) {
            if (unreadable.add(name)) {
                note("endpoint-unreadable", name).with("reason", bad.reason()).write(DecisionLog.Weight.NOTABLE);
            }
            return false;
        }
        EndpointRow.Description description = (EndpointRow.Description) row;
        unreadable.remove(name);
        gone.remove(Endpoint.id(name, description.startTimeMs()));
        Entry known = entries.get(name);
        if (known != null) {
            known.missingSinceNanos = Long.MIN_VALUE;
            if (isOlder(description, known.description)) {
                return false;
            }
        }
        Instance instance = instance(name, description, known);
        if (known != null && known.instance.equals(instance)) {
            known.description = description;
            return false;
        }
        entries.put(name, new Entry(description, instance));
        note(known == null ? "endpoint-listed" : "endpoint-changed", name)
                .with("service", instance.service())
                .with("address", instance.address())
                .with("zone", instance.zone())
                .with("leaving", instance.leaving())
                .with("coldMs", description.coldRemaining().toMillis())
                .with("sequence", description.sequence())
                .with("born", description.startTimeMs())
                .write(DecisionLog.Weight.NOTABLE);
        return true;
    }

    /**
     * Notes that the row of an endpoint is gone.
     *
     * @param storeReturned whether the store may have dropped the row while it was away
     * @return whether anything changed
     */
    public synchronized boolean remove(String name, boolean storeReturned) {
        Entry known = entries.get(name);
        if (known == null) {
            return false;
        }
        if (storeReturned) {
            if (known.missingSinceNanos == Long.MIN_VALUE) {
                known.missingSinceNanos = ticker.nanos();
            }
            return false;
        }
        forget(name, "its row was removed");
        return true;
    }

    /** Forgets endpoints whose rows did not come back in time; returns whether there was any. */
    public synchronized boolean expire() {
        long now = ticker.nanos();
        List<String> gone = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.missingSinceNanos != Long.MIN_VALUE && now - entry.missingSinceNanos > RETURN_NANOS) {
                gone.add(name);
            }
        });
        gone.forEach(name -> forget(name, "its row did not return with the store"));
        return !gone.isEmpty();
    }

    /** Returns the names of all endpoints. */
    public synchronized Set<String> names() {
        return Set.copyOf(entries.keySet());
    }

    /** Returns the ids of the endpoints that were forgotten last. */
    public synchronized Set<String> gone() {
        return Set.copyOf(gone);
    }

    /** Returns all endpoints. */
    public synchronized List<Instance> instances() {
        return entries.values().stream().map(entry -> entry.instance).toList();
    }

    private static boolean isOlder(EndpointRow.Description offered, EndpointRow.Description known) {
        if (offered.startTimeMs() != known.startTimeMs()) {
            return offered.startTimeMs() < known.startTimeMs();
        }
        return offered.sequence() < known.sequence();
    }

    private Instance instance(String name, EndpointRow.Description description, @Nullable Entry known) {
        String region =
                Optional.ofNullable(regionOfZone.get(description.zone())).orElse("");
        return new Instance(
                description.service(),
                Endpoint.id(name, description.startTimeMs()),
                description.address(),
                region,
                description.zone(),
                description.leaving(),
                description.slots(),
                coldUntil(description, known));
    }

    private long coldUntil(EndpointRow.Description description, @Nullable Entry known) {
        if (description.coldRemaining().isZero()) {
            return Instance.WARM;
        }
        long until = ticker.nanos() + description.coldRemaining().toNanos();
        if (known == null || known.instance.coldUntilNanos() == Instance.WARM) {
            return until;
        }
        long before = known.instance.coldUntilNanos();
        return Math.abs(before - until) < SAME_COLD_NANOS ? before : until;
    }

    private void forget(String name, String reason) {
        Entry forgotten = entries.remove(name);
        if (forgotten != null) {
            gone.add(forgotten.instance.id());
            if (gone.size() > MOST_GONE) {
                gone.remove(gone.iterator().next());
            }
        }
        note("endpoint-gone", name).with("reason", reason).write(DecisionLog.Weight.NOTABLE);
    }

    private DecisionLog.Line note(String event, String name) {
        return decisions.line(event).with("endpoint", name);
    }
}
