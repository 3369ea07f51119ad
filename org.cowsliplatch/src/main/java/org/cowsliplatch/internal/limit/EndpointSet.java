package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.place.AffinityMap;
import org.cowsliplatch.internal.place.CacheSizeEstimator;
import org.cowsliplatch.internal.place.RecentObjects;
import org.cowsliplatch.internal.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints of one group, in buckets by occupancy, so that the least loaded is found in constant time.
 *
 * <p>Guarded by the lock of the grantor.
 */
final class EndpointSet {
    /** Maximum share of the endpoints that outlier ejection may remove. */
    private static final double MAX_EJECTED_SHARE = 1.0 / 3;

    /** Success rate relative to that of the other endpoints of the pool below which an endpoint is an outlier. */
    private static final double MAX_OUTLIER_SUCCESS_RATIO = 0.5;
    /** Mean share of failures in a pool from which they are not attributed to single endpoints. */
    private static final double WIDESPREAD_FAILURE_SHARE = 0.25;

    private static final int ZONE_PICK_TRIES = 4;
    /** Interval between checks whether the estimated size of the caches has changed. */
    private static final long CACHE_SIZE_CHECK_NANOS = 500_000_000L;

    /** Share of a cache that is assigned; the rest is for objects that come only while other endpoints are busy. */
    private static final double MAX_CACHE_FILL = 0.75;
    /** Relative change of the estimate below which it is not applied, since objects would move. */
    private static final double MIN_CACHE_SIZE_CHANGE = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private final int slots;
    private final EndpointSlots.WarmUp warmUp;
    private final Function<String, RatePacer> pacers;
    private final CacheSizeEstimator cacheSize;
    /** Maximum number of objects that are assigned to an endpoint, and that it is relied on to have cached. */
    private int cachedObjects;

    private AffinityMap affinity;
    private Map<String, String> affinityZones = Map.of();
    private Map<String, Integer> affinityBounds = Map.of();
    private double requestsPerObject;
    private final Map<String, EndpointSlots> byId = new HashMap<>();
    private final List<List<EndpointSlots>> buckets = new ArrayList<>();
    private final List<EndpointSlots> inTransition = new ArrayList<>();
    private boolean initialized;
    private int free;
    private int total;
    private double rateShare = 1;
    private long cacheSizeCheckedNanos;

    /**
     * Creates a set without endpoints.
     *
     * @param random source of randomness for the choice among equally loaded endpoints
     * @param slots maximum number of slots of an endpoint
     * @param warmUp limits during the warm-up of an endpoint
     * @param pacers returns the pacer of an endpoint by its id
     * @param cacheSize estimates the size of the endpoints' caches
     */
    EndpointSet(
            RandomGenerator random,
            int slots,
            EndpointSlots.WarmUp warmUp,
            Function<String, RatePacer> pacers,
            CacheSizeEstimator cacheSize) {
        this.random = random;
        this.slots = slots;
        this.warmUp = warmUp;
        this.pacers = pacers;
        this.cacheSize = cacheSize;
        this.cachedObjects = assignableObjects();
        this.affinity = new AffinityMap(cachedObjects);
        for (int i = 0; i < slots; i++) {
            buckets.add(new ArrayList<>());
        }
    }

    /** Replaces the listed endpoints; those that appear after the first list start with a warm-up. */
    void update(Collection<ListedEndpoint> listed, long now) {
        Set<String> ids = new HashSet<>();
        for (ListedEndpoint listing : listed) {
            String id = listing.endpoint().id();
            ids.add(id);
            EndpointSlots endpoint = byId.computeIfAbsent(
                    id, key -> new EndpointSlots(listing, slots, now, warmUpOfNew(), pacers.apply(id)));
            endpoint.update(listing);
            endpoint.refreshPacer(rateShare, now);
        }
        initialized = true;
        Map<String, String> usable = new HashMap<>();
        Iterator<EndpointSlots> entries = byId.values().iterator();
        while (entries.hasNext()) {
            EndpointSlots endpoint = entries.next();
            if (!ids.contains(endpoint.endpoint().id())) {
                endpoint.remove();
                unlink(endpoint);
                entries.remove();
                continue;
            }
            if (endpoint.isInRotation()) {
                usable.put(endpoint.endpoint().id(), endpoint.endpoint().zone());
            }
            updateBucket(endpoint, now);
        }
        updateAffinity(usable);
        recount(now);
    }

    /** Assigns the objects again if the endpoints, or the objects that their rate limits suffice for, have changed. */
    private void updateAffinity(Map<String, String> usable) {
        Map<String, Integer> bounds = new HashMap<>();
        for (String id : usable.keySet()) {
            EndpointSlots endpoint = byId.get(id);
            if (endpoint != null && endpoint.pacer().isNamed() && requestsPerObject > 0) {
                bounds.put(id, objectBound(id, endpoint.pacer().perSecond()));
            }
        }
        if (!usable.equals(affinityZones) || !bounds.equals(affinityBounds)) {
            affinityZones = usable;
            affinityBounds = bounds;
            affinity.updateEndpoints(usable, bounds);
        }
    }

    /** Returns the number of objects that a rate suffices for; changes by one are ignored, since objects would move. */
    private int objectBound(String id, double perSecond) {
        int bound = (int) Math.min(cachedObjects, perSecond / requestsPerObject);
        Integer present = affinityBounds.get(id);
        return present != null && Math.abs(present - bound) <= 1 ? present : bound;
    }

    private EndpointSlots.WarmUp warmUpOfNew() {
        return initialized ? warmUp : new EndpointSlots.WarmUp(0, warmUp.coldPerSecond());
    }

    /** Returns whether no endpoint could take a request even if all its slots were free. */
    boolean isEmpty() {
        return total == 0;
    }

    /** Returns the number of slots that are free now. */
    int free() {
        return free;
    }

    /** Returns the number of slots that may be used now, free or not. */
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
     * Returns an endpoint with a free slot for a request, or null if no suitable one is free.
     *
     * @param request the request
     * @param mayWait whether to wait for an endpoint assigned to its object rather than use another one
     */
    @Nullable
    EndpointSlots pick(SlotRequest request, boolean mayWait, long now) {
        String object = request.requirements().object();
        if (object.isEmpty()) {
            return pickLeastLoaded(request.zone(), request.requirements().avoid());
        }
        EndpointSlots best = null;
        boolean mayBecomeFree = false;
        for (String id : affinity.endpointsFor(object)) {
            EndpointSlots assigned = byId.get(id);
            if (assigned == null || request.requirements().avoid().contains(id)) {
                continue;
            }
            mayBecomeFree |= assigned.outstanding() > 0
                    && isUsable(assigned, now)
                    && !assigned.pacer().isUsedUp();
            if (assigned.bucket >= 0 && (best == null || isBetter(assigned, best, request))) {
                best = assigned;
            }
        }
        if (best != null) {
            return best;
        }
        return mayWait && mayBecomeFree
                ? null
                : pickByRendezvous(object, request.requirements().avoid());
    }

    /** Returns whether an endpoint has probably cached an object. */
    boolean hasCached(EndpointSlots endpoint, String object) {
        int distance = endpoint.recentObjects().distance(object);
        return distance >= 0 && distance < cachedObjects;
    }

    /**
     * Records the service time of a successful run, from which the size of the caches is estimated.
     *
     * @param reuseDistance number of other objects that the endpoint handled since the object of this run, or
     *     {@link RecentObjects#UNKNOWN_DISTANCE}
     * @param nanos service time in ns
     */
    void recordServiceTime(int reuseDistance, double nanos) {
        cacheSize.add(reuseDistance, nanos);
    }

    /** Returns the estimated number of objects that an endpoint caches, or 0 while it is not reliable. */
    int knownCacheSize() {
        return cacheSize.isReliable() ? cacheSize.objects() : 0;
    }

    private int assignableObjects() {
        return Math.max(1, (int) (cacheSize.objects() * MAX_CACHE_FILL));
    }

    /** Assigns all objects again if the estimated size of the caches has changed. */
    private void updateCacheSize() {
        int estimate = assignableObjects();
        if (Math.abs(estimate - cachedObjects) < cachedObjects * MIN_CACHE_SIZE_CHANGE) {
            return;
        }
        cachedObjects = estimate;
        AffinityMap resized = new AffinityMap(cachedObjects);
        resized.updateEndpoints(affinityZones, affinityBounds);
        affinity.objectNames().forEach(resized::endpointsFor);
        affinity = resized;
    }

    /** Returns the same substitute for an object each time, so that it is soon cached there. */
    private @Nullable EndpointSlots pickByRendezvous(String object, List<String> avoid) {
        List<String> free = new ArrayList<>();
        for (EndpointSlots endpoint : byId.values()) {
            if (endpoint.bucket >= 0) {
                free.add(endpoint.endpoint().id());
            }
        }
        List<String> preferred = free.stream().filter(id -> !avoid.contains(id)).toList();
        return Rendezvous.owner(object, preferred.isEmpty() ? free : preferred)
                .map(byId::get)
                .orElse(null);
    }

    private static boolean isUsable(EndpointSlots endpoint, long now) {
        return !endpoint.isRemoved() && endpoint.isInRotation() && !endpoint.isEjected(now);
    }

    /**
     * Compares two endpoints that are assigned to an object. One that has it cached goes first, whatever its zone: a run
     * at another would take several times as long, and displace another object from its cache.
     */
    private boolean isBetter(EndpointSlots a, EndpointSlots b, SlotRequest request) {
        String object = request.requirements().object();
        boolean aIsWarm = hasCached(a, object);
        if (aIsWarm != hasCached(b, object)) {
            return aIsWarm;
        }
        boolean aInZone = a.endpoint().zone().equals(request.zone());
        boolean bInZone = b.endpoint().zone().equals(request.zone());
        return aInZone == bInZone ? a.bucket < b.bucket : aInZone;
    }

    private @Nullable EndpointSlots pickLeastLoaded(String zone, List<String> avoid) {
        EndpointSlots avoided = null;
        for (List<EndpointSlots> bucket : buckets) {
            if (bucket.isEmpty()) {
                continue;
            }
            EndpointSlots pick = pickUnavoided(bucket, pickNearby(bucket, zone), avoid);
            if (!avoid.contains(pick.endpoint().id())) {
                return pick;
            }
            avoided = pick;
        }
        return avoided;
    }

    private EndpointSlots pickNearby(List<EndpointSlots> bucket, String zone) {
        EndpointSlots pick = bucket.get(random.nextInt(bucket.size()));
        for (int i = 0; i < ZONE_PICK_TRIES && !pick.endpoint().zone().equals(zone); i++) {
            pick = bucket.get(random.nextInt(bucket.size()));
        }
        return pick;
    }

    /** Returns the pick, or if it is to be avoided, the first endpoint of its bucket that is not. */
    private static EndpointSlots pickUnavoided(List<EndpointSlots> bucket, EndpointSlots pick, List<String> avoid) {
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

    /**
     * Applies changed rate limits, or a changed share of them.
     *
     * @param share share of the limits that may be used here, from 0 to 1
     * @param objectRequestsPerSecond requests per second with an affinity key, for all objects together
     */
    void refreshRates(double share, double objectRequestsPerSecond, long now) {
        rateShare = share;
        requestsPerObject = objectRequestsPerSecond / Math.max(1, affinity.objects());
        for (EndpointSlots endpoint : byId.values()) {
            boolean wasLimited = endpoint.pacer().isLimited();
            endpoint.refreshPacer(share, now);
            if (wasLimited || endpoint.pacer().isLimited()) {
                updateBucketAndFree(endpoint, now);
            }
        }
        updateAffinity(affinityZones);
    }

    /** Returns whether a rate limit keeps a request from a slot that is free. */
    boolean isRateBound(long now) {
        for (EndpointSlots endpoint : byId.values()) {
            if (endpoint.pacer().isUsedUp()
                    && isUsable(endpoint, now)
                    && endpoint.outstanding() < endpoint.capacity(now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the requests per ns that the endpoints in rotation complete at most.
     *
     * @param serviceNanos mean service time in ns
     */
    double requestsPerNano(double serviceNanos, long now) {
        double sum = 0;
        for (EndpointSlots endpoint : byId.values()) {
            if (isUsable(endpoint, now)) {
                sum += Math.min(
                        endpoint.capacity(now) / serviceNanos, endpoint.pacer().perSecond() / NANOS_PER_SECOND);
            }
        }
        return sum;
    }

    /** Returns the pacers of the endpoints in rotation that have a limit. */
    List<RatePacer> limitedPacers(long now) {
        return byId.values().stream()
                .filter(endpoint -> isUsable(endpoint, now) && endpoint.pacer().isLimited())
                .map(EndpointSlots::pacer)
                .toList();
    }

    /** Occupies a slot for a request that is about to be sent, which counts toward the rate limit. */
    void grant(EndpointSlots endpoint, long now) {
        endpoint.pacer().spend();
        occupy(endpoint, now);
    }

    void occupy(EndpointSlots endpoint, long now) {
        endpoint.occupy();
        updateBucketAndFree(endpoint, now);
    }

    void free(EndpointSlots endpoint, long now) {
        endpoint.free();
        updateBucketAndFree(endpoint, now);
    }

    /**
     * Records the outcome of a use, and ejects the endpoint if it is an outlier and enough endpoints remain. If all
     * endpoints fail alike, ejecting some would only increase the load on the rest and displace their cached objects.
     */
    void recordOutcome(EndpointSlots endpoint, SlotOutcome outcome, long now) {
        if (outcome == SlotOutcome.LEAVING) {
            endpoint.leave();
            updateBucketAndFree(endpoint, now);
            recount(now);
            return;
        }
        if (outcome.isSuccess()) {
            endpoint.recordOutcome(outcome, false, now);
            updateBucketAndFree(endpoint, now);
            return;
        }
        double othersFailureShare = meanFailureShareOfOthers(endpoint);
        boolean eject = endpoint.recordOutcome(outcome, othersFailureShare >= WIDESPREAD_FAILURE_SHARE, now);
        boolean isDown = outcome == SlotOutcome.REFUSED;
        boolean isOutlier = 1 - endpoint.failureShare() < (1 - othersFailureShare) * MAX_OUTLIER_SUCCESS_RATIO;
        if (eject && !endpoint.isRemoved() && (isDown || (isOutlier && mayEjectAnother(now)))) {
            endpoint.eject(now);
            recount(now);
        }
        updateBucketAndFree(endpoint, now);
    }

    /** Updates endpoints whose occupancy level changes with time; returns whether slots became free. */
    boolean tick(long now) {
        if (now - cacheSizeCheckedNanos >= CACHE_SIZE_CHECK_NANOS) {
            cacheSizeCheckedNanos = now;
            updateCacheSize();
        }
        if (inTransition.isEmpty()) {
            return false;
        }
        int before = free;
        for (EndpointSlots endpoint : List.copyOf(inTransition)) {
            endpoint.refreshPacer(rateShare, now);
            updateBucket(endpoint, now);
        }
        recount(now);
        return free > before;
    }

    /** Returns the mean share of failures of the other endpoints in rotation, 0 if there are none. */
    private double meanFailureShareOfOthers(EndpointSlots except) {
        double sum = 0;
        int others = 0;
        for (EndpointSlots endpoint : byId.values()) {
            if (!endpoint.equals(except) && endpoint.isInRotation()) {
                sum += endpoint.failureShare();
                others++;
            }
        }
        return others == 0 ? 0 : sum / others;
    }

    private boolean mayEjectAnother(long now) {
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
        return ejected + 1 <= usable * MAX_EJECTED_SHARE;
    }

    private void updateBucketAndFree(EndpointSlots endpoint, long now) {
        int before = freeOf(endpoint);
        updateBucket(endpoint, now);
        free += freeOf(endpoint) - before;
    }

    private int freeOf(EndpointSlots endpoint) {
        return endpoint.bucket < 0 ? 0 : slots - endpoint.bucket;
    }

    /** Moves the endpoint to the bucket of its occupancy level, or to none if it may not get requests. */
    private void updateBucket(EndpointSlots endpoint, long now) {
        int level = isUsable(endpoint, now) ? endpoint.level(now) : slots;
        if (level != endpoint.bucket) {
            unlink(endpoint);
            if (level < slots) {
                link(endpoint, level);
            }
        }
        if (endpoint.isInTransition(now) && !endpoint.isRemoved()) {
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
        endpoint.index = bucket.size();
        bucket.add(endpoint);
    }

    private void unlink(EndpointSlots endpoint) {
        if (endpoint.bucket < 0) {
            return;
        }
        List<EndpointSlots> bucket = buckets.get(endpoint.bucket);
        EndpointSlots last = bucket.remove(bucket.size() - 1);
        if (last != endpoint) {
            bucket.set(endpoint.index, last);
            last.index = endpoint.index;
        }
        endpoint.bucket = -1;
        endpoint.index = -1;
    }

    private void recount(long now) {
        free = 0;
        total = 0;
        for (EndpointSlots endpoint : byId.values()) {
            free += freeOf(endpoint);
            if (endpoint.isInRotation() && !endpoint.isEjected(now)) {
                total += endpoint.capacity(now);
            }
        }
    }
}
