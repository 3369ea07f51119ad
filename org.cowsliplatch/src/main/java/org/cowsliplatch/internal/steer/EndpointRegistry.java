package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
 * Registry of the known endpoints, built from the rows in which they describe themselves.
 *
 * <p>Descriptions may arrive late: one with an older start time or an older sequence number is ignored, also if the
 * endpoint has been removed since, because a restored store lists it again as it was. A row that disappeared during an outage of the store may reappear once the store is back, so its endpoint is kept for a grace
 * period before it is removed. Thread-safe; guarded by its own monitor.
 */
public final class EndpointRegistry {
    /**
     * Time in ns for which an endpoint is kept whose row is missing after an outage of the store. According to the
     * users, rows of live endpoints reappear within 2 s of the store's return.
     */
    private static final long ROW_RESTORE_GRACE_NANOS = 2_000_000_000L;
    /** Largest difference in ns at which two estimates of the end of a cold start are considered equal. */
    private static final long COLD_END_TOLERANCE_NANOS = 400_000_000L;

    /**
     * Maximum number of retained ids of removed endpoints; a grantor unaware of a removal learns of it within seconds.
     */
    private static final int MAX_REMOVED_IDS = 512;

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
    private final Set<String> removedIds = new LinkedHashSet<>();
    /** Last descriptions of removed endpoints by name, oldest first. */
    private final Map<String, EndpointRow.Description> removed = new LinkedHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param regionOfZone region of each availability zone
     * @param ticker clock
     * @param decisions log of changes to endpoints
     */
    public EndpointRegistry(Map<String, String> regionOfZone, Ticker ticker, DecisionLog decisions) {
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.ticker = ticker;
        this.decisions = decisions;
    }

    /** Updates an endpoint from its row; returns whether anything changed. */
    public synchronized boolean update(String name, EndpointRow row) {
        if (row instanceof EndpointRow.Unreadable bad) {
            if (unreadable.add(name)) {
                event("endpoint-unreadable", name).with("reason", bad.reason()).write(DecisionLog.Weight.NOTABLE);
            }
            return false;
        }
        EndpointRow.Description description = (EndpointRow.Description) row;
        unreadable.remove(name);
        EndpointRow.Description last = removed.get(name);
        if (last != null && !isOlder(last, description)) {
            return false;
        }
        removed.remove(name);
        removedIds.remove(Endpoint.id(name, description.startTimeMs()));
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
        event(known == null ? "endpoint-listed" : "endpoint-changed", name)
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
     * Handles the removal of an endpoint's row.
     *
     * @param storeReturned whether the store is just back from an outage and may have lost the row in it; the endpoint
     *     is then kept for the grace period
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
        delete(name, "its row was removed");
        return true;
    }

    /** Removes endpoints whose rows did not reappear within the grace period; returns whether there were any. */
    public synchronized boolean expire() {
        long now = ticker.nanos();
        List<String> expired = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.missingSinceNanos != Long.MIN_VALUE && now - entry.missingSinceNanos > ROW_RESTORE_GRACE_NANOS) {
                expired.add(name);
            }
        });
        expired.forEach(name -> delete(name, "its row did not reappear after the store returned"));
        return !expired.isEmpty();
    }

    /** Returns the names of all endpoints. */
    public synchronized Set<String> names() {
        return Set.copyOf(entries.keySet());
    }

    /** Returns the ids of the most recently removed endpoints. */
    public synchronized Set<String> removedIds() {
        return Set.copyOf(removedIds);
    }

    /** Returns all endpoints. */
    public synchronized List<Instance> instances() {
        return entries.values().stream().map(entry -> entry.instance).toList();
    }

    private static boolean isOlder(EndpointRow.Description received, EndpointRow.Description known) {
        if (received.startTimeMs() != known.startTimeMs()) {
            return received.startTimeMs() < known.startTimeMs();
        }
        return received.sequence() < known.sequence();
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
        long previous = known.instance.coldUntilNanos();
        return Math.abs(previous - until) < COLD_END_TOLERANCE_NANOS ? previous : until;
    }

    private void delete(String name, String reason) {
        Entry deleted = entries.remove(name);
        if (deleted != null) {
            removed.put(name, deleted.description);
            if (removed.size() > MAX_REMOVED_IDS) {
                removed.remove(removed.keySet().iterator().next());
            }
            removedIds.add(deleted.instance.id());
            if (removedIds.size() > MAX_REMOVED_IDS) {
                removedIds.remove(removedIds.iterator().next());
            }
        }
        event("endpoint-gone", name).with("reason", reason).write(DecisionLog.Weight.NOTABLE);
    }

    private DecisionLog.Line event(String type, String name) {
        return decisions.line(type).with("endpoint", name);
    }
}
