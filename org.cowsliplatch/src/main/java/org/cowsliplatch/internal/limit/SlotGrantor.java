package org.cowsliplatch.internal.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of one group of endpoints to all entry instances, by rank, then oldest first.
 *
 * <p>One grantor for all holders keeps one queue one queue, and bounds what is outstanding at each endpoint by its
 * slots. It does no I/O and has no thread; each method returns what it decided. Safe for use by several threads.
 */
public final class SlotGrantor {
    private static final double DEMAND_TAU_NANOS = 1e9;
    /** Time that a slot stays occupied after its request was given up but may still run. */
    private static final long MAYBE_BUSY_NANOS = 1_000_000_000L;
    /** Share of the slots that may stand free for urgent requests while others wait. */
    private static final double MOST_RESERVED = 0.06;
    /**
     * Part of a request's time that must be left when it gets a slot.
     *
     * <p>A request that waited longer is refused while its caller still has time to go elsewhere, and one that gets
     * a slot is almost never late.
     */
    private static final double NEEDED = 0.5;
    /** Share of the time of a cold run below which a warm one is worth a wait. */
    private static final double WORTHWHILE_GAIN = 0.7;
    /** Extra on the mean time of a cold run, so that most of them are in time. */
    private static final double COLD_MARGIN = 1.2;
    /** Share of the slots that must be free for a request to run that can no longer be in time. */
    private static final double IDLE_SHARE = 0.3;
    /** Longest wait in ns of a request that is late already for a slot that no other wants. */
    private static final long MOST_OVERDUE_WAIT_NANOS = 200_000_000L;
    /** Share of the slots that must be free for such a request, so that those in time still find one. */
    private static final double OVERDUE_RESERVE = 0.2;
    /** Asks of one rank that are looked at for a slot that suits them. */
    private static final int MOST_LOOKED_AT = 64;
    /** Mean number of urgent requests below which no slot is kept free for them. */
    private static final double LEAST_URGENT = 0.05;
    /** Extra on a floor for the time in which a slot changes hands. */
    private static final double FLOOR_MARGIN = 1.08;

    private record Key(String holder, long askId) {}

    private record Outstanding(EndpointSlots endpoint, Rank rank, long sinceNanos, Run run) {}

    /** Whether an endpoint handled the object of a request lately. */
    private enum Run {
        WARM,
        COLD,
        UNKNOWN
    }

    private record MaybeBusy(EndpointSlots endpoint, Rank rank, long untilNanos) {}

    private final Ticker ticker;
    private final EndpointSet endpoints;
    private final RankQueues queues = new RankQueues();
    /** Asks whose answer will be late whatever is done: they get the slots that those in time leave over. */
    private final RankQueues overdue = new RankQueues();

    private final Map<Key, Outstanding> grants = new HashMap<>();
    private final ArrayDeque<MaybeBusy> maybeBusy = new ArrayDeque<>();
    private final ServiceTime serviceTime = new ServiceTime();
    private final ServiceTime warmTime = new ServiceTime();
    private final ServiceTime coldTime = new ServiceTime();
    private final int[] inFlight = new int[Rank.count()];
    private final DecayingMean[] occupancy = new DecayingMean[Rank.count()];
    private final int queueLimit;
    private boolean learning;

    /**
     * Creates a grantor without endpoints.
     *
     * @param pool row of the pool table
     * @param ticker clock
     * @param random source for the choice among equal endpoints
     */
    public SlotGrantor(Pool pool, Ticker ticker, RandomGenerator random) {
        this.ticker = ticker;
        EndpointSlots.WarmUp warmth = new EndpointSlots.WarmUp(pool.ramp().toNanos(), pool.coldPerSecond());
        this.endpoints = new EndpointSet(random, pool.slots(), warmth);
        this.queueLimit = pool.queueLimit();
        for (int i = 0; i < occupancy.length; i++) {
            occupancy[i] = new DecayingMean(DEMAND_TAU_NANOS, ticker.nanos());
        }
    }

    /**
     * Takes over the endpoints listed now.
     *
     * @param listed endpoints of the group, leaving ones included
     * @return asks that were decided by it
     */
    public synchronized List<SlotDecision> updateEndpoints(Collection<ListedEndpoint> listed) {
        long now = ticker.nanos();
        endpoints.update(listed, now);
        List<SlotDecision> events = new ArrayList<>();
        dispatch(now, events);
        return events;
    }

    /** Decides an ask now, or lets it wait; returns the asks decided, of which it may be one. */
    public synchronized List<SlotDecision> request(SlotRequest ask) {
        long now = ticker.nanos();
        List<SlotDecision> events = new ArrayList<>(1);
        forgetEarlier(ask, now);
        if (isOverdue(ask, now)) {
            askOverdue(ask, now, events);
            return events;
        }
        if (ask.isAimed() && !learning && queues.sizeUpTo(ask.rank()) == 0 && tryGrant(ask, now, events)) {
            return events;
        }
        Refusal refusal = admission(ask, now, events);
        if (refusal != null) {
            events.add(new SlotDecision.Refused(ask, refusal));
            return events;
        }
        queues.add(ask);
        dispatch(now, events);
        return events;
    }

    /**
     * Forgets what an ask that is made once more got before. Its holder would not repeat it if it knew of that: the
     * message that took it back, or the one that granted it, was lost.
     */
    private void forgetEarlier(SlotRequest ask, long now) {
        cancel(ask.holder(), ask.id());
        Outstanding unknown = grants.remove(new Key(ask.holder(), ask.id()));
        if (unknown != null) {
            free(unknown.endpoint(), unknown.rank(), now);
        }
    }

    /** Returns whether an answer would be late even if a slot came free now. */
    private boolean isOverdue(SlotRequest ask, long now) {
        return ask.requirements().dueNanos() < ask.deadlineNanos() && now > latestStart(ask);
    }

    private void askOverdue(SlotRequest ask, long now, List<SlotDecision> events) {
        if (endpoints.isEmpty()) {
            events.add(new SlotDecision.Refused(ask, Refusal.NO_ENDPOINT));
        } else if (overdue.size() >= queueLimit) {
            events.add(new SlotDecision.Refused(ask, Refusal.QUEUE_FULL));
        } else {
            overdue.add(ask);
            dispatch(now, events);
        }
    }

    /** Takes back an ask that is still waiting; returns whether it was. */
    public synchronized boolean cancel(String holder, long askId) {
        return queues.remove(holder, askId) || overdue.remove(holder, askId);
    }

    /** Takes back the slot that an ask got; an unknown one is passed over. */
    public synchronized List<SlotDecision> release(String holder, long askId, SlotOutcome outcome) {
        long now = ticker.nanos();
        List<SlotDecision> events = new ArrayList<>(1);
        Outstanding grant = grants.remove(new Key(holder, askId));
        if (grant == null) {
            return events;
        }
        if (outcome == SlotOutcome.ANSWERED) {
            double nanos = (double) (now - grant.sinceNanos());
            serviceTime.add(nanos);
            switch (grant.run()) {
                case WARM -> warmTime.add(nanos);
                case COLD -> coldTime.add(nanos);
                case UNKNOWN -> {}
            }
        }
        endpoints.note(grant.endpoint(), outcome, now);
        if (outcome.maybeBusy()) {
            maybeBusy.addLast(new MaybeBusy(grant.endpoint(), grant.rank(), now + MAYBE_BUSY_NANOS));
        } else {
            free(grant.endpoint(), grant.rank(), now);
        }
        dispatch(now, events);
        return events;
    }

    /** Takes all waiting asks back, oldest first within each rank. */
    public synchronized List<SlotRequest> drain() {
        List<SlotRequest> waiting = new ArrayList<>();
        for (RankQueues all : List.of(queues, overdue)) {
            for (int i = 0; i < Rank.count(); i++) {
                SlotRequest ask = all.peek(Rank.at(i));
                while (ask != null) {
                    all.remove(ask);
                    waiting.add(ask);
                    ask = all.peek(Rank.at(i));
                }
            }
        }
        return waiting;
    }

    /** Forgets the asks of a holder that died; its slots come free once its requests can no longer run. */
    public synchronized void removeHolder(String holder) {
        long now = ticker.nanos();
        queues.removeHolder(holder);
        overdue.removeHolder(holder);
        Iterator<Map.Entry<Key, Outstanding>> all = grants.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Key, Outstanding> entry = all.next();
            if (entry.getKey().holder().equals(holder)) {
                Outstanding grant = entry.getValue();
                maybeBusy.addLast(new MaybeBusy(grant.endpoint(), grant.rank(), now + MAYBE_BUSY_NANOS));
                all.remove();
            }
        }
    }

    /** Lets asks wait without deciding them, until {@link #endRecovery}. */
    public synchronized void beginRecovery() {
        learning = true;
    }

    /** Begins to grant, after the slots that holders got from an earlier grantor were adopted. */
    public synchronized List<SlotDecision> endRecovery() {
        learning = false;
        List<SlotDecision> events = new ArrayList<>();
        dispatch(ticker.nanos(), events);
        return events;
    }

    /** Counts a slot that a holder got from an earlier grantor; unknown endpoints are passed over. */
    public synchronized void adopt(String holder, long askId, String endpointId, Rank rank) {
        EndpointSlots endpoint = endpoints.find(endpointId);
        Key key = new Key(holder, askId);
        if (endpoint != null && !grants.containsKey(key)) {
            occupy(key, endpoint, rank, Run.UNKNOWN, ticker.nanos());
        }
    }

    /** Does what time alone brings: refuses what is too late, ends ramps and ejections, frees slots. */
    public synchronized List<SlotDecision> tick() {
        long now = ticker.nanos();
        List<SlotDecision> events = new ArrayList<>();
        while (!maybeBusy.isEmpty() && maybeBusy.peekFirst().untilNanos() <= now) {
            MaybeBusy ended = maybeBusy.removeFirst();
            free(ended.endpoint(), ended.rank(), now);
        }
        endpoints.tick(now);
        for (int i = 0; i < Rank.count(); i++) {
            dropLate(Rank.at(i), now, events);
            dropOverdue(Rank.at(i), now, events);
        }
        dispatch(now, events);
        return events;
    }

    /** Returns what is free, waiting and in use now. */
    public synchronized GroupLoad load() {
        int waiting = queues.size() + overdue.size();
        return new GroupLoad(endpoints.total(), endpoints.free(), grants.size() + maybeBusy.size(), waiting);
    }

    /** Returns the most requests outstanding at any endpoint now. */
    public synchronized int maxOutstandingPerEndpoint() {
        int most = 0;
        for (EndpointSlots endpoint : endpoints.all()) {
            most = Math.max(most, endpoint.outstanding());
        }
        return most;
    }

    /** Returns why an ask can't wait, or null if it can. */
    private @Nullable Refusal admission(SlotRequest ask, long now, List<SlotDecision> events) {
        if (endpoints.isEmpty()) {
            return Refusal.NO_ENDPOINT;
        }
        if (queues.size() >= queueLimit && !makeRoom(ask.rank(), events)) {
            return Refusal.QUEUE_FULL;
        }
        double wait = expectedWaitNanos(ask.rank(), now);
        return now + wait > latestStart(ask) ? Refusal.TOO_LATE : null;
    }

    /** Refuses the newest ask of the least urgent rank below this one; returns whether there was any. */
    private boolean makeRoom(Rank rank, List<SlotDecision> events) {
        for (int i = Rank.count() - 1; i > rank.ordinal(); i--) {
            SlotRequest newest = queues.peekLast(Rank.at(i));
            if (newest != null) {
                queues.remove(newest);
                events.add(new SlotDecision.Refused(newest, Refusal.QUEUE_FULL));
                return true;
            }
        }
        return false;
    }

    /** Returns the time in ns that a new ask of a rank would wait, by the current queue and service time. */
    private double expectedWaitNanos(Rank rank, long now) {
        int ahead = queues.sizeUpTo(rank);
        if (ahead == 0 && endpoints.free() > reserve(rank, now)) {
            return 0;
        }
        double total = endpoints.total();
        double moreUrgent = 0;
        for (int i = 0; i < rank.ordinal(); i++) {
            moreUrgent += Math.min(total, occupancy[i].mean(now));
        }
        double share = Math.max(rank.floorShare(), 1 - moreUrgent / total);
        int sameRank = queues.size(rank) + 1;
        double own = share <= 0 ? ahead + 1 : sameRank / share;
        return own * serviceTime.mean() / total;
    }

    /** Returns the moment after which a slot would no longer bring an answer of worth. */
    private double latestStart(SlotRequest ask) {
        if (ask.isAimed()) {
            return ask.requirements().dueNanos() - warmTime.mean();
        }
        return ask.deadlineNanos() - ask.budgetNanos() * NEEDED;
    }

    /**
     * Returns whether a request should wait for an endpoint that handles its object: while a run elsewhere would
     * still be in time, or where it would be late anyway and a wait may bring it in time.
     */
    private boolean isPatient(SlotRequest ask, long now) {
        if (isOverdue(ask, now)) {
            return !isIdle();
        }
        double cold = coldTime.mean();
        if (cold == 0 || warmTime.mean() > cold * WORTHWHILE_GAIN || now > latestStart(ask)) {
            return false;
        }
        double latestCold = ask.requirements().dueNanos() - cold * COLD_MARGIN;
        return now < latestCold || latestCold < ask.sinceNanos();
    }

    private void dropLate(Rank rank, long now, List<SlotDecision> events) {
        SlotRequest oldest = queues.peek(rank);
        while (oldest != null && now > latestStart(oldest)) {
            queues.remove(oldest);
            if (learning || !oldest.isAimed() || !isIdle() || !tryGrant(oldest, now, events)) {
                events.add(new SlotDecision.Refused(oldest, Refusal.TOO_LATE));
            }
            oldest = queues.peek(rank);
        }
    }

    private void dropOverdue(Rank rank, long now, List<SlotDecision> events) {
        SlotRequest oldest = overdue.peek(rank);
        while (oldest != null && now - oldest.sinceNanos() > MOST_OVERDUE_WAIT_NANOS) {
            overdue.remove(oldest);
            events.add(new SlotDecision.Refused(oldest, Refusal.TOO_LATE));
            oldest = overdue.peek(rank);
        }
    }

    private void dispatch(long now, List<SlotDecision> events) {
        boolean[] stuck = new boolean[Rank.count()];
        while (endpoints.free() > 0 && !learning) {
            Rank rank = nextRank(now, stuck);
            if (rank == null) {
                break;
            }
            stuck[rank.ordinal()] = !grantOne(rank, now, events);
        }
        if (!learning) {
            dispatchOverdue(now, events);
        }
    }

    /** Grants slots that no request in time wants now to those that are late already. */
    private void dispatchOverdue(long now, List<SlotDecision> events) {
        for (int i = 0; i < Rank.count(); i++) {
            for (SlotRequest ask : overdue.oldest(Rank.at(i), MOST_LOOKED_AT)) {
                if (endpoints.free() <= endpoints.total() * OVERDUE_RESERVE) {
                    return;
                }
                if (tryGrant(ask, now, events)) {
                    overdue.remove(ask);
                }
            }
        }
    }

    /** Grants a slot to the oldest ask of a rank that one suits; returns whether there was any. */
    private boolean grantOne(Rank rank, long now, List<SlotDecision> events) {
        dropLate(rank, now, events);
        for (SlotRequest ask : queues.oldest(rank, MOST_LOOKED_AT)) {
            if (tryGrant(ask, now, events)) {
                queues.remove(ask);
                return true;
            }
        }
        return false;
    }

    private boolean tryGrant(SlotRequest ask, long now, List<SlotDecision> events) {
        EndpointSlots endpoint = endpoints.pick(ask, isPatient(ask, now), now);
        if (endpoint == null || !canEnd(ask, endpoint, now)) {
            return false;
        }
        Run run = run(endpoint, ask.requirements().object());
        occupy(new Key(ask.holder(), ask.id()), endpoint, ask.rank(), run, now);
        events.add(new SlotDecision.Granted(ask, endpoint.endpoint()));
        return true;
    }

    /** Returns whether a run on an endpoint is likely to end before the deadline; a run that is cut serves nobody. */
    private boolean canEnd(SlotRequest ask, EndpointSlots endpoint, long now) {
        if (!ask.isAimed()) {
            return true;
        }
        boolean warm = endpoint.recent().contains(ask.requirements().object());
        double run = warm ? warmTime.mean() : coldTime.mean();
        boolean isNew = now == ask.sinceNanos() && !isOverdue(ask, now);
        return isNew || now + run * COLD_MARGIN <= ask.deadlineNanos();
    }

    /** Returns whether a late answer takes nothing from those in time. */
    private boolean isIdle() {
        return endpoints.free() > endpoints.total() * IDLE_SHARE;
    }

    private static Run run(EndpointSlots endpoint, String object) {
        if (object.isEmpty()) {
            return Run.UNKNOWN;
        }
        Run run = endpoint.recent().contains(object) ? Run.WARM : Run.COLD;
        endpoint.recent().touch(object);
        return run;
    }

    /** Returns the rank that gets the next free slot, or null if none may; ranks whose asks no slot suits are left out. */
    private @Nullable Rank nextRank(long now, boolean[] stuck) {
        for (int i = 1; i < Rank.count(); i++) {
            Rank rank = Rank.at(i);
            if (!stuck[i] && queues.size(rank) > 0 && isBelowFloor(rank, now)) {
                return rank;
            }
        }
        for (int i = 0; i < Rank.count(); i++) {
            Rank rank = Rank.at(i);
            if (!stuck[i] && queues.size(rank) > 0) {
                return endpoints.free() > reserve(rank, now) ? rank : null;
            }
        }
        return null;
    }

    private boolean isBelowFloor(Rank rank, long now) {
        double floor = rank.floorShare() * FLOOR_MARGIN * endpoints.total();
        return inFlight[rank.ordinal()] < Math.max(1, Math.ceil(floor)) && occupancy[rank.ordinal()].mean(now) < floor;
    }

    /** Returns the slots that a rank must leave free for urgent asks to come while less urgent ones flood. */
    private int reserve(Rank rank, long now) {
        boolean flooded = queues.size() - queues.size(Rank.URGENT) > endpoints.total();
        if (rank == Rank.URGENT || !flooded || occupancy[Rank.URGENT.ordinal()].mean(now) < LEAST_URGENT) {
            return 0;
        }
        return (int) (endpoints.total() * MOST_RESERVED);
    }

    private void occupy(Key key, EndpointSlots endpoint, Rank rank, Run run, long now) {
        endpoints.occupy(endpoint, now);
        count(rank, 1, now);
        grants.put(key, new Outstanding(endpoint, rank, now, run));
    }

    private void free(EndpointSlots endpoint, Rank rank, long now) {
        endpoints.free(endpoint, now);
        count(rank, -1, now);
    }

    private void count(Rank rank, int change, long now) {
        int i = rank.ordinal();
        inFlight[i] += change;
        occupancy[i].set(now, inFlight[i]);
    }
}
