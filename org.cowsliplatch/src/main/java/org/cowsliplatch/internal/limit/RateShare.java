package org.cowsliplatch.internal.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cowsliplatch.internal.util.Ticker;

/**
 * The share of the endpoints' rate limits that this entry instance may use as a grantor: the part of the entry instances
 * known lately that it still reaches.
 *
 * <p>Groups of instances that are cut off from each other each have a grantor, and their shares add up to at most 1.
 * Safe for use by several threads.
 */
final class RateShare {
    /** Time in ns after which a missing entry instance is considered to have ended rather than to be cut off. */
    private static final long ABSENCE_NANOS = 30_000_000_000L;

    /** The same for an entry instance that is listed but was never heard of: time for one that is starting too. */
    private static final long UNHEARD_NANOS = 5_000_000_000L;

    private final Ticker ticker;
    /** Time in ns until which each entry instance that is not reached counts as cut off. */
    private final Map<String, Long> knownUntilNanos = new HashMap<>();

    private Set<String> reachable = Set.of();
    private Set<String> staying = Set.of();
    private boolean isListed;

    RateShare(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Updates the entry instances that are reached.
     *
     * @param members names of the live entry instances, this one included
     * @param leaving names of those among them that announced their planned stop
     */
    synchronized void update(Set<String> members, Set<String> leaving) {
        long until = ticker.nanos() + ABSENCE_NANOS;
        staying.forEach(name -> knownUntilNanos.put(name, until));
        knownUntilNanos.keySet().removeAll(leaving);
        Set<String> remaining = new HashSet<>(members);
        remaining.removeAll(leaving);
        staying = remaining;
        reachable = Set.copyOf(members);
    }

    /** Counts listed entry instances as known for a while, unless more is known of them. */
    synchronized void expect(Collection<String> names) {
        long until = ticker.nanos() + UNHEARD_NANOS;
        names.forEach(name -> knownUntilNanos.putIfAbsent(name, until));
        isListed = true;
    }

    /** Returns the share, from 0 to 1, while one grantor serves all entry instances that are reached. */
    synchronized double current() {
        int known = known();
        return known == 0 ? 1 : (double) reachable.size() / known;
    }

    /** Returns the share, from 0 to 1, while each entry instance grants for itself; 0 until the others are listed. */
    synchronized double alone() {
        return isListed ? 1.0 / Math.max(1, known()) : 0;
    }

    private int known() {
        long now = ticker.nanos();
        knownUntilNanos.values().removeIf(until -> now - until > 0);
        int known = reachable.size();
        for (String name : knownUntilNanos.keySet()) {
            if (!reachable.contains(name)) {
                known++;
            }
        }
        return known;
    }
}
