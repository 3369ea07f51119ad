package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.place.AffinityMap;
import org.cowsliplatch.internal.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Endpoints of one group in buckets by occupancy, so that the least occupied is found in constant time.
 *
 * <p>Guarded by the lock of the grantor.
 */
final class EndpointSet {
    /** Largest share of the endpoints that health alone may keep out. */
    private static final double MOST_EJECTED = 1.0 / 3;

    /** Share of the successes of its pool below which an endpoint is worse than the others, not just like them. */
    private static final double OUTLIER_SUCCESS = 0.5;
    /** Mean share of failures in a pool from which they are taken as no fault of single endpoints. */
    private static final double WIDESPREAD_FAILURES = 0.25;

    private static final int PICK_TRIES = 4;

    private final RandomGenerator random;
    private final int slots;
    private final EndpointSlots.WarmUp warmth;
    private final AffinityMap affinity = new AffinityMap();
    private Map<String, String> placed = Map.of();
    private final Map<String, EndpointSlots> byId = new HashMap<>();
    private final List<List<EndpointSlots>> buckets = new ArrayList<>();
    private final List<EndpointSlots> inTransition = new ArrayList<>();
    private boolean filled;
    private int free;
    private int total;

    EndpointSet(RandomGenerator random, int slots, EndpointSlots.WarmUp warmth) {
        this.random = random;
        this.slots = slots;
        this.warmth = warmth;
        for (int i = 0; i < slots; i++) {
            buckets.add(new ArrayList<>());
        }
    }

    /** Takes over the listed endpoints; those that appear after the first list are cold. */
    void update(Collection<ListedEndpoint> listed, long now) {
        Set<String> ids = new HashSet<>();
        for (ListedEndpoint one : listed) {
            String id = one.endpoint().id();
            ids.add(id);
            EndpointSlots endpoint = byId.computeIfAbsent(id, key -> new EndpointSlots(one, slots, now, warmthOfNew()));
            endpoint.listed(one);
        }
        filled = true;
        Map<String, String> usable = new HashMap<>();
        Iterator<EndpointSlots> known = byId.values().iterator();
        while (known.hasNext()) {
            EndpointSlots endpoint = known.next();
            if (!ids.contains(endpoint.endpoint().id())) {
                endpoint.remove();
                unlink(endpoint);
                known.remove();
                continue;
            }
            if (endpoint.isInRotation()) {
                usable.put(endpoint.endpoint().id(), endpoint.endpoint().zone());
            }
            place(endpoint, now);
        }
        if (!usable.equals(placed)) {
            placed = usable;
            affinity.updateEndpoints(usable);
        }
        count(now);
    }

    private EndpointSlots.WarmUp warmthOfNew() {
        return filled ? warmth : new EndpointSlots.WarmUp(0, warmth.coldPerSecond());
    }

    /** Returns whether no endpoint could take work even if all its slots were free. */
    boolean isEmpty() {
        return total == 0;
    }

    /** Returns the slots that are free now. */
    int free() {
        return free;
    }

    /** Returns the slots that may be used now, free or not. */
    int total() {
        return total;
    }

    Collection<EndpointSlots> all() {
        return byId.values();
    }

    @Nullable
    EndpointSlots find(String id) {
        return byId.get(id);
    }

    /**
     * Returns an endpoint with a free slot for a request, or null if none is free that suits it.
     *
     * @param ask the request
     * @param isPatient whether it should rather wait for an endpoint that handles its object than run elsewhere
     */
    @Nullable
    EndpointSlots pick(SlotRequest ask, boolean isPatient, long now) {
        String object = ask.requirements().object();
        if (object.isEmpty()) {
            return pickLeast(ask.zone(), ask.requirements().avoid());
        }
        EndpointSlots best = null;
        boolean mayComeFree = false;
        for (String id : affinity.endpointsFor(object)) {
            EndpointSlots home = byId.get(id);
            if (home == null || ask.requirements().avoid().contains(id)) {
                continue;
            }
            mayComeFree |= home.outstanding() > 0 && isUsable(home, now);
            if (home.bucket >= 0 && (best == null || isNearer(home, best, ask.zone()))) {
                best = home;
            }
        }
        if (best != null) {
            return best;
        }
        return isPatient && mayComeFree
                ? null
                : pickSubstitute(object, ask.requirements().avoid());
    }

    /** Returns the same substitute for an object each time, so that it is soon remembered there. */
    private @Nullable EndpointSlots pickSubstitute(String object, List<String> avoid) {
        List<String> free = new ArrayList<>();
        for (EndpointSlots endpoint : byId.values()) {
            if (endpoint.bucket >= 0) {
                free.add(endpoint.endpoint().id());
            }
        }
        List<String> wanted = free.stream().filter(id -> !avoid.contains(id)).toList();
        return Rendezvous.owner(object, wanted.isEmpty() ? free : wanted)
                .map(byId::get)
                .orElse(null);
    }

    private static boolean isUsable(EndpointSlots endpoint, long now) {
        return !endpoint.isGone() && endpoint.isInRotation() && !endpoint.isEjected(now);
    }

    private static boolean isNearer(EndpointSlots a, EndpointSlots b, String zone) {
        boolean nearA = a.endpoint().zone().equals(zone);
        boolean nearB = b.endpoint().zone().equals(zone);
        return nearA == nearB ? a.bucket < b.bucket : nearA;
    }

    private @Nullable EndpointSlots pickLeast(String zone, List<String> avoid) {
        EndpointSlots avoided = null;
        for (List<EndpointSlots> bucket : buckets) {
            if (bucket.isEmpty()) {
                continue;
            }
            EndpointSlots pick = other(bucket, pickFrom(bucket, zone), avoid);
            if (!avoid.contains(pick.endpoint().id())) {
                return pick;
            }
            avoided = pick;
        }
        return avoided;
    }

    private EndpointSlots pickFrom(List<EndpointSlots> bucket, String zone) {
        EndpointSlots pick = bucket.get(random.nextInt(bucket.size()));
        for (int i = 0; i < PICK_TRIES && !pick.endpoint().zone().equals(zone); i++) {
            pick = bucket.get(random.nextInt(bucket.size()));
        }
        return pick;
    }

    /** Returns the pick, or where it is to be avoided the first endpoint of its bucket that is not. */
    private static EndpointSlots other(List<EndpointSlots> bucket, EndpointSlots pick, List<String> avoid) {
        if (!avoid.contains(pick.endpoint().id())) {
            return pick;
        }
        for (EndpointSlots candidate : bucket) {
            if (!avoid.contains(candidate.endpoint().id())) {
                return candidate;
            }
        }
        return pick;
    }

    void occupy(EndpointSlots endpoint, long now) {
        endpoint.occupy(now);
        replace(endpoint, now);
    }

    void free(EndpointSlots endpoint, long now) {
        endpoint.free();
        replace(endpoint, now);
    }

    /**
     * Notes how a use ended and ejects the endpoint if it fails more than the others do, and if enough remain. Where
     * all fail alike, keeping some out would only press the rest harder and scatter what they remember.
     */
    void note(EndpointSlots endpoint, SlotOutcome outcome, long now) {
        if (outcome == SlotOutcome.LEAVING) {
            endpoint.leave();
            replace(endpoint, now);
            count(now);
            return;
        }
        if (outcome.isGood()) {
            endpoint.note(outcome, false, now);
            replace(endpoint, now);
            return;
        }
        double others = meanBadness(endpoint);
        boolean eject = endpoint.note(outcome, others >= WIDESPREAD_FAILURES, now);
        boolean certain = outcome == SlotOutcome.REFUSED;
        boolean outlier = 1 - endpoint.badness() < (1 - others) * OUTLIER_SUCCESS;
        if (eject && !endpoint.isGone() && (certain || (outlier && mayEjectOneMore(now)))) {
            endpoint.eject(now);
            count(now);
        }
        replace(endpoint, now);
    }

    /** Moves endpoints whose level changed with time; returns whether slots came free. */
    boolean tick(long now) {
        if (inTransition.isEmpty()) {
            return false;
        }
        int before = free;
        for (EndpointSlots endpoint : List.copyOf(inTransition)) {
            place(endpoint, now);
        }
        count(now);
        return free > before;
    }

    /** Returns the mean share of failures at the other endpoints, 0 if there are none. */
    private double meanBadness(EndpointSlots but) {
        double sum = 0;
        int others = 0;
        for (EndpointSlots endpoint : byId.values()) {
            if (!endpoint.equals(but) && endpoint.isInRotation()) {
                sum += endpoint.badness();
                others++;
            }
        }
        return others == 0 ? 0 : sum / others;
    }

    private boolean mayEjectOneMore(long now) {
        int ejected = 0;
        int usable = 0;
        for (EndpointSlots endpoint : byId.values()) {
            if (!endpoint.isInRotation()) {
                continue;
            }
            usable++;
            if (endpoint.isEjected(now)) {
                ejected++;
            }
        }
        return ejected + 1 <= usable * MOST_EJECTED;
    }

    private void replace(EndpointSlots endpoint, long now) {
        int before = freeOf(endpoint);
        place(endpoint, now);
        free += freeOf(endpoint) - before;
    }

    private int freeOf(EndpointSlots endpoint) {
        return endpoint.bucket < 0 ? 0 : slots - endpoint.bucket;
    }

    /** Puts the endpoint into the bucket of its level, or into none if it may not get work. */
    private void place(EndpointSlots endpoint, long now) {
        int level = isUsable(endpoint, now) ? endpoint.level(now) : slots;
        if (level != endpoint.bucket) {
            unlink(endpoint);
            if (level < slots) {
                link(endpoint, level);
            }
        }
        if (endpoint.isInTransition(now) && !endpoint.isGone()) {
            if (!inTransition.contains(endpoint)) {
                inTransition.add(endpoint);
            }
        } else {
            inTransition.remove(endpoint);
        }
    }

    private void link(EndpointSlots endpoint, int level) {
        List<EndpointSlots> bucket = buckets.get(level);
        endpoint.bucket = level;
        endpoint.place = bucket.size();
        bucket.add(endpoint);
    }

    private void unlink(EndpointSlots endpoint) {
        if (endpoint.bucket < 0) {
            return;
        }
        List<EndpointSlots> bucket = buckets.get(endpoint.bucket);
        EndpointSlots last = bucket.remove(bucket.size() - 1);
        if (last != endpoint) {
            bucket.set(endpoint.place, last);
            last.place = endpoint.place;
        }
        endpoint.bucket = -1;
        endpoint.place = -1;
    }

    private void count(long now) {
        free = 0;
        total = 0;
        for (EndpointSlots endpoint : byId.values()) {
            free += freeOf(endpoint);
            if (endpoint.isInRotation() && !endpoint.isEjected(now)) {
                total += endpoint.allowed(now);
            }
        }
    }
}
