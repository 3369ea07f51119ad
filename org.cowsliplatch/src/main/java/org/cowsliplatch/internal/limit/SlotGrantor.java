package org.cowsliplatch.internal.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.place.CacheSizeEstimator;
import org.cowsliplatch.internal.place.RecentObjects;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of one group of endpoints to all entry instances, by rank, then in FIFO order.
 *
 * <p>A single grantor for all holders keeps a single queue, and limits the requests in flight at each endpoint to its
 * slots. Does no I/O and has no thread; each method returns its decisions. Safe for use by several threads.
 */
public final class SlotGrantor {
    private static final double DEMAND_TIME_CONSTANT_NANOS = 1e9;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Time that a slot stays occupied after its request was abandoned but may still be running. */
    private static final long ABANDONED_HOLD_NANOS = 1_000_000_000L;
    /** Share of the slots that may be reserved for urgent requests while others are queued. */
    private static final double MAX_RESERVED_SHARE = 0.06;
    /**
     * Share of the time budget of a request that must remain when it is granted a slot.
     *
     * <p>A request that waited longer is refused, so that its caller still has time to try elsewhere, and a request
     * that is granted a slot almost never misses its deadline.
     */
    private static final double MIN_REMAINING_SHARE = 0.5;
    /** Ratio of warm to cold service time up to which it is worth waiting for an endpoint with the object cached. */
    private static final double MAX_WARM_TO_COLD_RATIO = 0.7;
    /** Factor on the mean cold service time, so that most cold runs finish within it. */
    private static final double COLD_RUN_MARGIN = 1.2;
    /** Share of the slots that must be free to run a request that can no longer meet its target. */
    private static final double IDLE_FREE_SHARE = 0.3;
    /** Maximum wait in ns of an overdue request for a slot that no other request needs. */
    private static final long MAX_OVERDUE_WAIT_NANOS = 200_000_000L;
    /** Share of the slots that stays free of overdue requests, for requests that can still meet their target. */
    private static final double OVERDUE_RESERVE_SHARE = 0.2;
    /** Maximum number of queued requests of one rank that are examined for a suitable slot. */
    private static final int MAX_SCANNED = 64;
    /** Mean number of urgent requests in flight below which no slot is reserved for them. */
    private static final double MIN_URGENT_IN_FLIGHT = 0.05;
    /** Factor on a floor that allows for the time between the release of a slot and its next grant. */
    private static final double FLOOR_MARGIN = 1.08;

    private record GrantKey(String holder, long requestId) {}

    /**
     * A slot in use.
     *
     * @param access access to the object of the request, null if it has none or the slot was adopted
     */
    private record Grant(
            EndpointSlots endpoint,
            Rank rank,
            long sinceNanos,
            @Nullable Access access) {}

    /**
     * Access of a request to its object at an endpoint.
     *
     * @param reuseDistance number of other objects that the endpoint handled since it last handled this one, or
     *     {@link RecentObjects#UNKNOWN_DISTANCE}
     * @param cached whether the endpoint has probably cached the object
     */
    private record Access(int reuseDistance, boolean cached) {}

    private record AbandonedRun(EndpointSlots endpoint, Rank rank, long untilNanos) {}

    private final Ticker ticker;
    private final EndpointSet endpoints;
    private final RankQueues queues = new RankQueues();
    /** Requests that can no longer meet their latency target; they get slots that no other request needs. */
    private final RankQueues overdue = new RankQueues();

    private final Map<GrantKey, Grant> grants = new HashMap<>();
    private final ArrayDeque<AbandonedRun> abandonedRuns = new ArrayDeque<>();
    private final ServiceTime serviceTime = new ServiceTime();
    private final ServiceTime warmServiceTime = new ServiceTime();
    private final ServiceTime coldServiceTime = new ServiceTime();
    private final int[] inFlight = new int[Rank.count()];
    private final DecayingMean[] occupancy = new DecayingMean[Rank.count()];
    private final int queueLimit;
    private final EndpointLimits limits;
    private final ReturnSchedule returns = new ReturnSchedule();
    private final EventRate objectRequests;
    private int limitRevision;
    private double rateShare = 1;
    private boolean recovering;

    /**
     * Creates a grantor without endpoints.
     *
     * @param pool row of the pool table
     * @param ticker clock
     * @param random source of randomness for the choice among equally loaded endpoints
     */
    public SlotGrantor(Pool pool, Ticker ticker, RandomGenerator random) {
        this(pool, ticker, random, new EndpointLimits(ticker, EndpointLimits.NO_LISTENER));
    }

    /**
     * Creates a grantor without endpoints that keeps rate limits.
     *
     * @param pool row of the pool table
     * @param ticker clock
     * @param random source of randomness for the choice among equally loaded endpoints
     * @param limits rate limits of the endpoints
     */
    public SlotGrantor(Pool pool, Ticker ticker, RandomGenerator random, EndpointLimits limits) {
        this(pool, ticker, random, limits, new CacheSizeEstimator());
    }

    /**
     * Creates a grantor without endpoints that keeps rate limits.
     *
     * @param pool row of the pool table
     * @param ticker clock
     * @param random source of randomness for the choice among equally loaded endpoints
     * @param limits rate limits of the endpoints
     * @param cacheSize estimates the size of the endpoints' caches
     */
    public SlotGrantor(
            Pool pool, Ticker ticker, RandomGenerator random, EndpointLimits limits, CacheSizeEstimator cacheSize) {
        this.ticker = ticker;
        this.limits = limits;
        this.objectRequests = new EventRate(ticker.nanos());
        EndpointSlots.WarmUp warmUp = new EndpointSlots.WarmUp(pool.ramp().toNanos(), pool.coldPerSecond());
        this.endpoints =
                new EndpointSet(random, pool.slots(), warmUp, id -> new RatePacer(id, limits, ticker), cacheSize);
        this.queueLimit = pool.queueLimit();
        for (int i = 0; i < occupancy.length; i++) {
            occupancy[i] = new DecayingMean(DEMAND_TIME_CONSTANT_NANOS, ticker.nanos());
        }
    }

    /**
     * Replaces the listed endpoints.
     *
     * @param listed endpoints of the group, leaving ones included
     * @return the resulting decisions
     */
    public synchronized List<SlotDecision> updateEndpoints(Collection<ListedEndpoint> listed) {
        long now = ticker.nanos();
        endpoints.update(listed, now);
        List<SlotDecision> decisions = new ArrayList<>();
        dispatch(now, decisions);
        return decisions;
    }

    /**
     * Sets the share of the endpoints' rate limits that this grantor may use.
     *
     * @param share share, from 0 to 1; 1 if no other grantor grants slots of the same endpoints
     */
    public synchronized void setRateShare(double share) {
        if (share != rateShare) {
            rateShare = share;
            refreshRates(ticker.nanos());
        }
    }

    /** Returns the time in ns at which a request was granted its slot, or empty if it has none. */
    public synchronized OptionalLong grantedNanos(String holder, long requestId) {
        Grant grant = grants.get(new GrantKey(holder, requestId));
        return grant == null ? OptionalLong.empty() : OptionalLong.of(grant.sinceNanos());
    }

    /** Decides a request or queues it; returns the resulting decisions, possibly on other requests too. */
    public synchronized List<SlotDecision> request(SlotRequest request) {
        long now = ticker.nanos();
        applyLimits(now);
        endpoints.tick(now);
        if (!request.requirements().object().isEmpty()) {
            objectRequests.add(now);
        }
        List<SlotDecision> decisions = new ArrayList<>(1);
        discardEarlier(request, now);
        if (isOverdue(request, now)) {
            requestOverdue(request, now, decisions);
            return decisions;
        }
        if (request.hasTargetOrAffinity()
                && !recovering
                && queues.sizeUpTo(request.rank()) == 0
                && tryGrant(request, now, decisions)) {
            return decisions;
        }
        Refusal refusal = admission(request, now, decisions);
        if (refusal != null) {
            decisions.add(refused(request, refusal, now));
            return decisions;
        }
        queues.add(request);
        dispatch(now, decisions);
        return decisions;
    }

    /**
     * Discards the earlier state of a request that arrives again. Its holder repeats it only if it does not know that
     * state: the message that cancelled the request, or the one that granted it, was lost.
     */
    private void discardEarlier(SlotRequest request, long now) {
        cancel(request.holder(), request.id());
        Grant earlier = grants.remove(new GrantKey(request.holder(), request.id()));
        if (earlier != null) {
            free(earlier.endpoint(), earlier.rank(), now);
        }
    }

    /** Returns whether the request would miss its latency target even if it were granted a slot now. */
    private boolean isOverdue(SlotRequest request, long now) {
        return request.requirements().dueNanos() < request.deadlineNanos() && now > latestStart(request);
    }

    private void requestOverdue(SlotRequest request, long now, List<SlotDecision> decisions) {
        if (endpoints.isEmpty()) {
            decisions.add(new SlotDecision.Refused(request, Refusal.NO_ENDPOINT));
        } else if (overdue.size() >= queueLimit) {
            decisions.add(refused(request, Refusal.QUEUE_FULL, now));
        } else if (endpoints.isRateBound(now) && endpoints.free() <= endpoints.total() * OVERDUE_RESERVE_SHARE) {
            // Tokens go to requests in time first; while they run short, none comes free for an overdue one.
            decisions.add(refused(request, Refusal.TOO_LATE, now));
        } else {
            overdue.add(request);
            dispatch(now, decisions);
        }
    }

    /** Refuses a request, because of the rate limits if they are what keeps it from a slot. */
    private SlotDecision.Refused refused(SlotRequest request, Refusal reason, long now) {
        if (reason == Refusal.NO_ENDPOINT || !endpoints.isRateBound(now)) {
            return new SlotDecision.Refused(request, reason);
        }
        List<RatePacer> limited = endpoints.limitedPacers(now);
        long ageNanos = 0;
        for (RatePacer pacer : limited) {
            ageNanos = Math.max(ageNanos, now - pacer.namedNanos());
        }
        double perNano = endpoints.requestsPerNano(serviceTime.mean(), now);
        long roomInNanos = returns.next(now, queues.size() / perNano, 1 / perNano);
        RateBound bound = new RateBound(perNano * NANOS_PER_SECOND, limited.size(), ageNanos, rateShare, roomInNanos);
        return new SlotDecision.Refused(request, Refusal.RATE_LIMITED, Optional.of(bound));
    }

    private void applyLimits(long now) {
        int revision = limits.revision();
        if (revision != limitRevision) {
            limitRevision = revision;
            refreshRates(now);
        }
    }

    private void refreshRates(long now) {
        endpoints.refreshRates(rateShare, objectRequests.perSecond(now), now);
    }

    /** Removes a queued request; returns whether it was queued. */
    public synchronized boolean cancel(String holder, long requestId) {
        return queues.remove(holder, requestId) || overdue.remove(holder, requestId);
    }

    /** Releases the slot of a request; has no effect if the request is unknown. */
    public synchronized List<SlotDecision> release(String holder, long requestId, SlotOutcome outcome) {
        long now = ticker.nanos();
        applyLimits(now);
        List<SlotDecision> decisions = new ArrayList<>(1);
        Grant grant = grants.remove(new GrantKey(holder, requestId));
        if (grant == null) {
            return decisions;
        }
        if (outcome == SlotOutcome.ANSWERED) {
            double nanos = (double) (now - grant.sinceNanos());
            serviceTime.add(nanos);
            Access access = grant.access();
            if (access != null) {
                recordServiceTime(access, nanos);
            }
        }
        endpoints.recordOutcome(grant.endpoint(), outcome, now);
        if (outcome.mayStillRun()) {
            abandonedRuns.addLast(new AbandonedRun(grant.endpoint(), grant.rank(), now + ABANDONED_HOLD_NANOS));
        } else {
            free(grant.endpoint(), grant.rank(), now);
        }
        dispatch(now, decisions);
        return decisions;
    }

    private void recordServiceTime(Access access, double nanos) {
        endpoints.recordServiceTime(access.reuseDistance(), nanos);
        // An object that was handled before may be cached although the estimated size of the cache says otherwise.
        if (access.cached()) {
            warmServiceTime.add(nanos);
        } else if (access.reuseDistance() == RecentObjects.UNKNOWN_DISTANCE) {
            coldServiceTime.add(nanos);
        }
    }

    /** Removes and returns all queued requests, oldest first within each rank. */
    public synchronized List<SlotRequest> drain() {
        List<SlotRequest> waiting = new ArrayList<>();
        for (RankQueues all : List.of(queues, overdue)) {
            for (int i = 0; i < Rank.count(); i++) {
                SlotRequest request = all.peek(Rank.at(i));
                while (request != null) {
                    all.remove(request);
                    waiting.add(request);
                    request = all.peek(Rank.at(i));
                }
            }
        }
        return waiting;
    }

    /** Removes the requests of a holder that failed; its slots become free once its requests can no longer be running. */
    public synchronized void removeHolder(String holder) {
        long now = ticker.nanos();
        queues.removeHolder(holder);
        overdue.removeHolder(holder);
        Iterator<Map.Entry<GrantKey, Grant>> entries = grants.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<GrantKey, Grant> entry = entries.next();
            if (entry.getKey().holder().equals(holder)) {
                Grant grant = entry.getValue();
                abandonedRuns.addLast(new AbandonedRun(grant.endpoint(), grant.rank(), now + ABANDONED_HOLD_NANOS));
                entries.remove();
            }
        }
    }

    /** Queues requests without deciding them, until {@link #endRecovery}. */
    public synchronized void beginRecovery() {
        recovering = true;
    }

    /** Starts to grant slots, after those that an earlier grantor had granted were adopted. */
    public synchronized List<SlotDecision> endRecovery() {
        recovering = false;
        List<SlotDecision> decisions = new ArrayList<>();
        dispatch(ticker.nanos(), decisions);
        return decisions;
    }

    /** Records a slot that an earlier grantor granted to a holder; unknown endpoints are ignored. */
    public synchronized void adopt(String holder, long requestId, String endpointId, Rank rank) {
        EndpointSlots endpoint = endpoints.find(endpointId);
        GrantKey key = new GrantKey(holder, requestId);
        if (endpoint != null && !grants.containsKey(key)) {
            long now = ticker.nanos();
            endpoints.occupy(endpoint, now);
            recordGrant(key, endpoint, rank, null, now);
        }
    }

    /** Does time-driven work: refuses late requests, ends ramps and ejections, frees slots of abandoned requests. */
    public synchronized List<SlotDecision> tick() {
        long now = ticker.nanos();
        List<SlotDecision> decisions = new ArrayList<>();
        applyLimits(now);
        while (!abandonedRuns.isEmpty() && abandonedRuns.peekFirst().untilNanos() <= now) {
            AbandonedRun ended = abandonedRuns.removeFirst();
            free(ended.endpoint(), ended.rank(), now);
        }
        endpoints.tick(now);
        for (int i = 0; i < Rank.count(); i++) {
            refuseLate(Rank.at(i), now, decisions);
            refuseOverdue(Rank.at(i), now, decisions);
        }
        dispatch(now, decisions);
        return decisions;
    }

    /** Returns the current load of the group. */
    public synchronized GroupLoad load() {
        int waiting = queues.size() + overdue.size();
        return new GroupLoad(endpoints.total(), endpoints.free(), grants.size() + abandonedRuns.size(), waiting);
    }

    /** Returns the number of objects that an endpoint caches, or 0 if it is not known yet. */
    public synchronized int knownCacheSize() {
        return endpoints.knownCacheSize();
    }

    /** Returns the maximum number of requests in flight at any endpoint now. */
    public synchronized int maxOutstandingPerEndpoint() {
        int max = 0;
        for (EndpointSlots endpoint : endpoints.all()) {
            max = Math.max(max, endpoint.outstanding());
        }
        return max;
    }

    /** Admission check: returns why a request can't be queued, or null if it can. */
    private @Nullable Refusal admission(SlotRequest request, long now, List<SlotDecision> decisions) {
        if (endpoints.isEmpty()) {
            return Refusal.NO_ENDPOINT;
        }
        if (queues.size() >= queueLimit && !evictLessUrgent(request.rank(), now, decisions)) {
            return Refusal.QUEUE_FULL;
        }
        double waitNanos = expectedWaitNanos(request.rank(), now);
        return now + waitNanos > latestStart(request) ? Refusal.TOO_LATE : null;
    }

    /** Refuses the newest queued request of the least urgent rank below this one; returns whether there was any. */
    private boolean evictLessUrgent(Rank rank, long now, List<SlotDecision> decisions) {
        for (int i = Rank.count() - 1; i > rank.ordinal(); i--) {
            SlotRequest newest = queues.peekLast(Rank.at(i));
            if (newest != null) {
                queues.remove(newest);
                decisions.add(refused(newest, Refusal.QUEUE_FULL, now));
                return true;
            }
        }
        return false;
    }

    /** Returns the expected queueing time in ns of a new request of a rank, from queue lengths and mean service time. */
    private double expectedWaitNanos(Rank rank, long now) {
        int ahead = queues.sizeUpTo(rank);
        if (ahead == 0 && endpoints.free() > reserve(rank, now)) {
            return 0;
        }
        double total = endpoints.total();
        double moreUrgentSlots = 0;
        for (int i = 0; i < rank.ordinal(); i++) {
            moreUrgentSlots += Math.min(total, occupancy[i].mean(now));
        }
        double share = Math.max(rank.floorShare(), 1 - moreUrgentSlots / total);
        int sameRank = queues.size(rank) + 1;
        double ownTurns = share <= 0 ? ahead + 1 : sameRank / share;
        return endpoints.limitedPacers(now).isEmpty()
                ? ownTurns * serviceTime.mean() / total
                : ownTurns / endpoints.requestsPerNano(serviceTime.mean(), now);
    }

    /** Returns the time in ns after which a grant would be too late for the request. */
    private double latestStart(SlotRequest request) {
        if (request.hasTargetOrAffinity()) {
            return request.requirements().dueNanos() - warmServiceTime.mean();
        }
        return request.deadlineNanos() - request.budgetNanos() * MIN_REMAINING_SHARE;
    }

    /**
     * Returns whether a request should wait for an endpoint that has its object cached: as long as a cold run elsewhere
     * would still meet the target, or if a cold run could never have met it and a warm one may.
     */
    private boolean shouldWaitForAffinity(SlotRequest request, long now) {
        if (isOverdue(request, now)) {
            return !isIdle();
        }
        double coldNanos = coldServiceTime.mean();
        if (coldNanos == 0
                || warmServiceTime.mean() > coldNanos * MAX_WARM_TO_COLD_RATIO
                || now > latestStart(request)) {
            return false;
        }
        double latestColdStart = request.requirements().dueNanos() - coldNanos * COLD_RUN_MARGIN;
        return now < latestColdStart || latestColdStart < request.sinceNanos();
    }

    private void refuseLate(Rank rank, long now, List<SlotDecision> decisions) {
        SlotRequest oldest = queues.peek(rank);
        while (oldest != null && now > latestStart(oldest)) {
            queues.remove(oldest);
            if (recovering || !oldest.hasTargetOrAffinity() || !isIdle() || !tryGrant(oldest, now, decisions)) {
                decisions.add(refused(oldest, Refusal.TOO_LATE, now));
            }
            oldest = queues.peek(rank);
        }
    }

    private void refuseOverdue(Rank rank, long now, List<SlotDecision> decisions) {
        SlotRequest oldest = overdue.peek(rank);
        while (oldest != null && now - oldest.sinceNanos() > MAX_OVERDUE_WAIT_NANOS) {
            overdue.remove(oldest);
            decisions.add(refused(oldest, Refusal.TOO_LATE, now));
            oldest = overdue.peek(rank);
        }
    }

    private void dispatch(long now, List<SlotDecision> decisions) {
        boolean[] blocked = new boolean[Rank.count()];
        while (endpoints.free() > 0 && !recovering) {
            Rank rank = nextRank(now, blocked);
            if (rank == null) {
                break;
            }
            blocked[rank.ordinal()] = !grantOne(rank, now, decisions);
        }
        if (!recovering) {
            dispatchOverdue(now, decisions);
        }
    }

    /** Grants overdue requests the slots that no other request needs now. */
    private void dispatchOverdue(long now, List<SlotDecision> decisions) {
        for (int i = 0; i < Rank.count(); i++) {
            for (SlotRequest request : overdue.oldest(Rank.at(i), MAX_SCANNED)) {
                if (endpoints.free() <= endpoints.total() * OVERDUE_RESERVE_SHARE) {
                    return;
                }
                if (tryGrant(request, now, decisions)) {
                    overdue.remove(request);
                }
            }
        }
    }

    /** Grants a slot to the oldest request of a rank for which one is suitable; returns whether there was any. */
    private boolean grantOne(Rank rank, long now, List<SlotDecision> decisions) {
        refuseLate(rank, now, decisions);
        for (SlotRequest request : queues.oldest(rank, MAX_SCANNED)) {
            if (tryGrant(request, now, decisions)) {
                queues.remove(request);
                return true;
            }
        }
        return false;
    }

    private boolean tryGrant(SlotRequest request, long now, List<SlotDecision> decisions) {
        EndpointSlots endpoint = endpoints.pick(request, shouldWaitForAffinity(request, now), now);
        if (endpoint == null || !canFinish(request, endpoint, now)) {
            return false;
        }
        Access access = recordAccess(endpoint, request.requirements().object());
        endpoints.grant(endpoint, now);
        recordGrant(new GrantKey(request.holder(), request.id()), endpoint, request.rank(), access, now);
        decisions.add(new SlotDecision.Granted(request, endpoint.endpoint()));
        return true;
    }

    /** Returns whether a run on an endpoint is likely to finish by the deadline; a run cut off at it is wasted work. */
    private boolean canFinish(SlotRequest request, EndpointSlots endpoint, long now) {
        if (!request.hasTargetOrAffinity()) {
            return true;
        }
        boolean warm = endpoints.hasCached(endpoint, request.requirements().object());
        double runNanos = warm ? warmServiceTime.mean() : coldServiceTime.mean();
        boolean isNew = now == request.sinceNanos() && !isOverdue(request, now);
        return isNew || now + runNanos * COLD_RUN_MARGIN <= request.deadlineNanos();
    }

    /** Returns whether enough slots are free for a late request to delay no other. */
    private boolean isIdle() {
        return endpoints.free() > endpoints.total() * IDLE_FREE_SHARE;
    }

    private @Nullable Access recordAccess(EndpointSlots endpoint, String object) {
        if (object.isEmpty()) {
            return null;
        }
        Access access = new Access(endpoint.recentObjects().distance(object), endpoints.hasCached(endpoint, object));
        endpoint.recentObjects().touch(object);
        return access;
    }

    /** Returns the rank that gets the next free slot, or null if none may; ranks without a suitable slot are skipped. */
    private @Nullable Rank nextRank(long now, boolean[] blocked) {
        for (int i = 1; i < Rank.count(); i++) {
            Rank rank = Rank.at(i);
            if (!blocked[i] && queues.size(rank) > 0 && isBelowFloor(rank, now)) {
                return rank;
            }
        }
        for (int i = 0; i < Rank.count(); i++) {
            Rank rank = Rank.at(i);
            if (!blocked[i] && queues.size(rank) > 0) {
                return endpoints.free() > reserve(rank, now) ? rank : null;
            }
        }
        return null;
    }

    private boolean isBelowFloor(Rank rank, long now) {
        double floor = rank.floorShare() * FLOOR_MARGIN * endpoints.total();
        return inFlight[rank.ordinal()] < Math.max(1, Math.ceil(floor)) && occupancy[rank.ordinal()].mean(now) < floor;
    }

    /** Returns the slots that a rank must leave free for future urgent requests during a backlog of less urgent ones. */
    private int reserve(Rank rank, long now) {
        boolean backlogged = queues.size() - queues.size(Rank.URGENT) > endpoints.total();
        if (rank == Rank.URGENT || !backlogged || occupancy[Rank.URGENT.ordinal()].mean(now) < MIN_URGENT_IN_FLIGHT) {
            return 0;
        }
        return (int) (endpoints.total() * MAX_RESERVED_SHARE);
    }

    private void recordGrant(GrantKey key, EndpointSlots endpoint, Rank rank, @Nullable Access access, long now) {
        updateInFlight(rank, 1, now);
        grants.put(key, new Grant(endpoint, rank, now, access));
    }

    private void free(EndpointSlots endpoint, Rank rank, long now) {
        endpoints.free(endpoint, now);
        updateInFlight(rank, -1, now);
    }

    private void updateInFlight(Rank rank, int change, long now) {
        int i = rank.ordinal();
        inFlight[i] += change;
        occupancy[i].set(now, inFlight[i]);
    }
}
