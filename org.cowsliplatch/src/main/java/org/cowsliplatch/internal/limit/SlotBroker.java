package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.Pool;
import org.jspecify.annotations.Nullable;

/**
 * Gets slots for this entry instance from the grantor of each group, and is the grantor of some groups itself.
 *
 * <p>A grantor that does not answer within a few round trips is doubted: until it is heard again, this entry
 * instance uses a private share of the endpoints, one slot of each, so that no request waits on a dead grantor.
 * Does no I/O and has no thread; safe for use by several threads.
 */
public final class SlotBroker implements SlotSource {
    /** Time without an answer after which a grantor in the same region is doubted. */
    private static final long ACK_TIMEOUT_NANOS = 25_000_000L;
    /** Time without an answer after which a grantor in another region is doubted. */
    private static final long FAR_ACK_TIMEOUT_NANOS = 200_000_000L;
    /** Longest time that a new grantor waits for reports of what is outstanding. */
    private static final long LEARN_NANOS = 300_000_000L;
    /** Slots of one request that may be given back before it is refused. */
    private static final int MOST_OBJECTIONS = 4;
    /** Grantor name of slots from the private share. */
    private static final String PRIVATE = "";

    private enum UseState {
        WAITING,
        GRANTED,
        DONE
    }

    /** One ask of this entry instance, from the wait to the release. */
    private final class Use implements PendingSlot, Lease {
        final long id;
        final GroupId group;
        volatile SlotRequest.Requirements want;
        final AtomicInteger objections = new AtomicInteger();
        final long sinceNanos;
        final SlotCallback waiter;
        final AtomicReference<UseState> state = new AtomicReference<>(UseState.WAITING);
        volatile String grantor = PRIVATE;
        volatile long sentNanos;
        volatile boolean acknowledged;
        volatile @Nullable Endpoint granted;

        Use(long id, GroupId group, SlotRequest.Requirements want, SlotCallback waiter) {
            this.id = id;
            this.group = group;
            this.want = want;
            this.sinceNanos = ticker.nanos();
            this.waiter = waiter;
        }

        SlotRequest ask() {
            return new SlotRequest(self, id, zone, sinceNanos, want);
        }

        @Override
        public void cancel() {
            if (state.compareAndSet(UseState.WAITING, UseState.DONE)) {
                uses.remove(id);
                withdraw(this);
                waiter.refused(Refusal.CANCELLED);
            }
        }

        @Override
        public Endpoint endpoint() {
            Endpoint endpoint = granted;
            if (endpoint == null) {
                throw new IllegalStateException("slot " + id + " was not granted");
            }
            return endpoint;
        }

        @Override
        public void release(SlotOutcome outcome) {
            if (state.compareAndSet(UseState.GRANTED, UseState.DONE)) {
                uses.remove(id);
                giveBack(grantor, group, id, outcome);
            }
        }
    }

    /** A group whose slots this entry instance grants. */
    private static final class Hosted {
        final Pool pool;
        final SlotGrantor grantor;
        final Set<String> unheard = new HashSet<>();
        long learnUntilNanos;

        Hosted(Pool pool, SlotGrantor grantor) {
            this.pool = pool;
            this.grantor = grantor;
        }
    }

    private final String self;
    private final String zone;
    private final Ticker ticker;
    private final PeerSender peers;
    private final SplittableRandom random;
    private final AtomicLong nextAskId;
    private final Map<Long, Use> uses = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Use> unacknowledged = new ConcurrentLinkedQueue<>();
    private final Map<GroupId, Hosted> hosted = new ConcurrentHashMap<>();
    private final Map<GroupId, SlotGrantor> privateShares = new ConcurrentHashMap<>();
    private final Map<GroupId, String> grantors = new ConcurrentHashMap<>();
    private final Set<String> doubted = ConcurrentHashMap.newKeySet();
    private final AtomicLong doubts = new AtomicLong();
    private volatile SteeringView view = SteeringView.empty();

    /**
     * Creates a broker.
     *
     * @param self name of this entry instance
     * @param zone availability zone of this entry instance
     * @param ticker clock
     * @param random source of randomness, used under a lock
     * @param peers sends messages to other grantors and holders
     */
    public SlotBroker(String self, String zone, Ticker ticker, RandomGenerator random, PeerSender peers) {
        this.self = self;
        this.zone = zone;
        this.ticker = ticker;
        this.peers = peers;
        this.random = new SplittableRandom(random.nextLong());
        this.nextAskId = new AtomicLong(random.nextLong() & (Long.MAX_VALUE >> 1));
    }

    @Override
    public PendingSlot acquire(GroupId group, SlotRequest.Requirements want, SlotCallback waiter) {
        Use use = new Use(nextAskId.getAndIncrement(), group, want, waiter);
        uses.put(use.id, use);
        send(use);
        return use;
    }

    /** Takes a new view over: duties move, endpoints come and go, dead holders are forgotten. */
    public synchronized void updateView(SteeringView newView) {
        Set<String> before = names(view.members());
        view = newView;
        Set<String> now = names(newView.members());
        Map<GroupId, String> old = new HashMap<>(grantors);
        for (GroupId group : Groups.all(newView)) {
            assign(group, old.get(group));
        }
        for (Map.Entry<GroupId, Hosted> entry : hosted.entrySet()) {
            refresh(entry.getKey(), entry.getValue(), before, now);
        }
        privateShares.forEach((group, share) -> deliver(group, PRIVATE, updateShare(group, share)));
        doubted.retainAll(now);
    }

    /** Handles a message of a peer; messages that are not about slots are passed over. */
    public void receive(String from, PeerMessage message) {
        doubted.remove(from);
        if (message instanceof PeerMessage.SlotAsk ask) {
            onAsk(from, ask);
        } else if (message instanceof PeerMessage.SlotQueued queued) {
            onQueued(queued.askId());
        } else if (message instanceof PeerMessage.SlotDeclined declined) {
            onDeclined(from, declined.askId());
        } else if (message instanceof PeerMessage.SlotGranted granted) {
            onGranted(from, granted.group(), granted.askId(), granted.endpoint());
        } else if (message instanceof PeerMessage.SlotRefused refused) {
            onRefused(from, refused.askId(), refused.why());
        } else if (message instanceof PeerMessage.SlotCancel cancel) {
            withHosted(cancel.group(), host -> host.grantor.cancel(from, cancel.askId()));
        } else if (message instanceof PeerMessage.SlotRelease release) {
            withHosted(
                    release.group(),
                    host -> deliver(
                            release.group(), self, host.grantor.release(from, release.askId(), release.outcome())));
        } else if (message instanceof PeerMessage.HoldingsQuery query) {
            peers.send(from, new PeerMessage.Holdings(query.group(), holdings(query.group())));
        } else if (message instanceof PeerMessage.Holdings holdings) {
            onHoldings(from, holdings);
        }
    }

    /** Does what time alone brings; to be called every few milliseconds. */
    public void tick() {
        long now = ticker.nanos();
        hosted.forEach((group, host) -> {
            endLearningIfDue(group, host, now);
            deliver(group, self, host.grantor.tick());
        });
        privateShares.forEach((group, share) -> deliver(group, PRIVATE, share.tick()));
        doubtSilentGrantors(now);
        refuseLate(now);
    }

    /** Returns the load of the groups whose slots this entry instance grants. */
    public List<PeerMessage.GroupReport> loads() {
        List<PeerMessage.GroupReport> loads = new ArrayList<>();
        hosted.forEach((group, host) -> loads.add(new PeerMessage.GroupReport(group, host.grantor.load())));
        return loads;
    }

    /** Returns the number of asks that wait and slots that are held here. */
    public int inUse() {
        return uses.size();
    }

    /** Returns how many asks went to a private share since their grantor was silent. */
    public long fallbacks() {
        return doubts.get();
    }

    /** Returns the name of the grantor of a group, or empty if there are no members. */
    public Optional<String> grantorOf(GroupId group) {
        return Optional.ofNullable(grantors.get(group));
    }

    private void send(Use use) {
        String grantor = grantors.get(use.group);
        if (grantor == null) {
            use.grantor = PRIVATE;
            finishRefused(use, Refusal.NO_ENDPOINT);
            return;
        }
        if (grantor.equals(self)) {
            Hosted host = hosted.get(use.group);
            if (host != null) {
                use.grantor = self;
                deliver(use.group, self, host.grantor.request(use.ask()));
                return;
            }
        }
        if (grantor.equals(self) || doubted.contains(grantor)) {
            askPrivately(use);
            return;
        }
        askPeer(use, grantor);
    }

    private void askPeer(Use use, String grantor) {
        long now = ticker.nanos();
        use.grantor = grantor;
        use.acknowledged = false;
        use.sentNanos = now;
        unacknowledged.add(use);
        peers.send(
                grantor,
                new PeerMessage.SlotAsk(
                        use.group,
                        use.id,
                        zone,
                        now - use.sinceNanos,
                        new SlotRequest.Requirements(
                                use.want.rank(),
                                use.want.dueNanos() - now,
                                use.want.deadlineNanos() - now,
                                use.want.avoid(),
                                use.want.object())));
    }

    private void askPrivately(Use use) {
        use.grantor = PRIVATE;
        use.acknowledged = true;
        SlotGrantor share = privateShares.computeIfAbsent(use.group, this::newShare);
        if (share == null) {
            finishRefused(use, Refusal.NO_ENDPOINT);
            return;
        }
        deliver(use.group, PRIVATE, share.request(use.ask()));
    }

    private @Nullable SlotGrantor newShare(GroupId group) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            return null;
        }
        SlotGrantor share = FallbackShare.grantor(pool, ticker, nextRandom());
        updateShare(group, share);
        return share;
    }

    /** Gives the share its part of the endpoints; leaving ones are dealt out too, so that the parts stay apart. */
    private List<SlotDecision> updateShare(GroupId group, SlotGrantor share) {
        return share.updateEndpoints(
                FallbackShare.partOf(Groups.endpoints(view, group), Groups.candidates(view, group), self));
    }

    /** Gives a group to the grantor that the view names, and moves what waits there. */
    private void assign(GroupId group, @Nullable String old) {
        String grantor =
                Rendezvous.owner(group.key(), Groups.candidates(view, group)).orElse(null);
        if (grantor == null) {
            grantors.remove(group);
            return;
        }
        if (grantor.equals(old)) {
            rehostIfChanged(group);
            return;
        }
        if (grantor.equals(self)) {
            host(group);
        }
        grantors.put(group, grantor);
        Hosted former = grantor.equals(self) ? null : hosted.remove(group);
        if (former != null) {
            decline(former);
        }
        for (Use use : List.copyOf(uses.values())) {
            if (use.group.equals(group)) {
                move(use, grantor);
            }
        }
    }

    private void move(Use use, String grantor) {
        if (use.state.get() == UseState.WAITING) {
            withdraw(use);
            send(use);
        } else if (use.state.get() == UseState.GRANTED && !use.grantor.equals(PRIVATE)) {
            use.grantor = grantor;
        }
    }

    /** Becomes the grantor of a group: first learns which slots are in use. */
    private void host(GroupId group) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            return;
        }
        Hosted host = new Hosted(pool, new SlotGrantor(pool, ticker, nextRandom()));
        host.grantor.beginRecovery();
        host.learnUntilNanos = ticker.nanos() + LEARN_NANOS;
        deliver(group, self, host.grantor.updateEndpoints(Groups.endpoints(view, group)));
        for (PeerMessage.Holding holding : holdings(group)) {
            host.grantor.adopt(self, holding.askId(), holding.endpointId(), holding.rank());
        }
        for (Member member : view.members()) {
            if (!member.name().equals(self)) {
                host.unheard.add(member.name());
            }
        }
        hosted.put(group, host);
        for (String peer : Set.copyOf(host.unheard)) {
            peers.send(peer, new PeerMessage.HoldingsQuery(group));
        }
        endLearningIfDue(group, host, ticker.nanos());
    }

    /** Starts over with the new limits where the row of the pool was edited; what waits is kept. */
    private void rehostIfChanged(GroupId group) {
        Hosted former = hosted.get(group);
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (former == null || pool == null || pool.equals(former.pool)) {
            return;
        }
        List<SlotRequest> waiting = former.grantor.drain();
        host(group);
        withHosted(group, host -> waiting.forEach(ask -> deliver(group, self, host.grantor.request(ask))));
        privateShares.remove(group);
    }

    private void decline(Hosted former) {
        for (SlotRequest ask : former.grantor.drain()) {
            if (!ask.holder().equals(self)) {
                peers.send(ask.holder(), new PeerMessage.SlotDeclined(ask.id()));
            }
        }
    }

    private void refresh(GroupId group, Hosted host, Set<String> before, Set<String> now) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            deliver(group, self, host.grantor.updateEndpoints(List.of()));
            return;
        }
        for (String name : before) {
            if (!now.contains(name)) {
                host.grantor.removeHolder(name);
                synchronized (host) {
                    host.unheard.remove(name);
                }
            }
        }
        deliver(group, self, host.grantor.updateEndpoints(Groups.endpoints(view, group)));
    }

    private void endLearningIfDue(GroupId group, Hosted host, long now) {
        boolean due;
        synchronized (host) {
            due = host.learnUntilNanos != 0 && (host.unheard.isEmpty() || now >= host.learnUntilNanos);
            if (due) {
                host.learnUntilNanos = 0;
            }
        }
        if (due) {
            deliver(group, self, host.grantor.endRecovery());
        }
    }

    private void onAsk(String from, PeerMessage.SlotAsk message) {
        Hosted host = hosted.get(message.group());
        if (host == null) {
            peers.send(from, new PeerMessage.SlotDeclined(message.askId()));
            return;
        }
        long now = ticker.nanos();
        SlotRequest.Requirements left = message.want();
        SlotRequest.Requirements want = new SlotRequest.Requirements(
                left.rank(), now + left.dueNanos(), now + left.deadlineNanos(), left.avoid(), left.object());
        SlotRequest ask = new SlotRequest(from, message.askId(), message.zone(), now - message.waitedNanos(), want);
        List<SlotDecision> events = host.grantor.request(ask);
        boolean decided = events.stream().anyMatch(event -> event.request().equals(ask));
        if (!decided) {
            peers.send(from, new PeerMessage.SlotQueued(message.askId()));
        }
        deliver(message.group(), self, events);
    }

    private void onQueued(long askId) {
        Use use = uses.get(askId);
        if (use != null) {
            use.acknowledged = true;
        }
    }

    private void onDeclined(String from, long askId) {
        Use use = uses.get(askId);
        if (use != null && use.grantor.equals(from) && use.state.get() == UseState.WAITING) {
            askPrivately(use);
        }
    }

    private void onGranted(String from, GroupId group, long askId, Endpoint endpoint) {
        Use use = uses.get(askId);
        if (use != null && use.grantor.equals(from)) {
            use.acknowledged = true;
            SlotOutcome objection = objection(endpoint);
            if (objection != null && use.state.get() == UseState.WAITING) {
                object(use, from, endpoint, objection);
                return;
            }
            use.granted = endpoint;
            if (use.state.compareAndSet(UseState.WAITING, UseState.GRANTED)) {
                use.waiter.granted(use);
                return;
            }
        }
        giveBack(from, group, askId, SlotOutcome.UNUSED);
    }

    /**
     * Returns why this entry instance must not use an endpoint, or null if it may. A grantor that is cut off from the
     * store may not know yet that an endpoint leaves or that its zone is evacuated.
     */
    private @Nullable SlotOutcome objection(Endpoint endpoint) {
        EndpointDirectory known = view.endpoints();
        if (known.hasLeft(endpoint.id())) {
            return SlotOutcome.LEAVING;
        }
        return known.evacuatedZones().contains(endpoint.zone()) ? SlotOutcome.UNUSED : null;
    }

    /** Gives a slot back that must not be used, and asks for another. */
    private void object(Use use, String grantor, Endpoint endpoint, SlotOutcome objection) {
        giveBack(grantor, use.group, use.id, objection);
        if (use.objections.incrementAndGet() >= MOST_OBJECTIONS) {
            finishRefused(use, Refusal.NO_ENDPOINT);
            return;
        }
        use.want = use.want.avoiding(endpoint.id());
        send(use);
    }

    private void onRefused(String from, long askId, Refusal why) {
        Use use = uses.get(askId);
        if (use != null && use.grantor.equals(from)) {
            finishRefused(use, why);
        }
    }

    private void onHoldings(String from, PeerMessage.Holdings message) {
        Hosted host = hosted.get(message.group());
        if (host == null) {
            return;
        }
        for (PeerMessage.Holding holding : message.holdings()) {
            host.grantor.adopt(from, holding.askId(), holding.endpointId(), holding.rank());
        }
        synchronized (host) {
            host.unheard.remove(from);
        }
        endLearningIfDue(message.group(), host, ticker.nanos());
    }

    /** Tells holders what a grantor decided. */
    private void deliver(GroupId group, String grantor, List<SlotDecision> events) {
        for (SlotDecision event : events) {
            SlotRequest ask = event.request();
            if (event instanceof SlotDecision.Granted granted) {
                if (ask.holder().equals(self)) {
                    onGranted(grantor, group, ask.id(), granted.endpoint());
                } else {
                    peers.send(ask.holder(), new PeerMessage.SlotGranted(group, ask.id(), granted.endpoint()));
                }
            } else if (event instanceof SlotDecision.Refused refused) {
                if (ask.holder().equals(self)) {
                    onRefused(grantor, ask.id(), refused.why());
                } else {
                    peers.send(ask.holder(), new PeerMessage.SlotRefused(ask.id(), refused.why()));
                }
            }
        }
    }

    private void finishRefused(Use use, Refusal why) {
        if (use.state.compareAndSet(UseState.WAITING, UseState.DONE)) {
            uses.remove(use.id);
            use.waiter.refused(why);
        }
    }

    /** Takes an ask back from the grantor that has it. */
    private void withdraw(Use use) {
        String grantor = use.grantor;
        if (grantor.equals(PRIVATE)) {
            SlotGrantor share = privateShares.get(use.group);
            if (share != null) {
                share.cancel(self, use.id);
            }
        } else if (grantor.equals(self)) {
            withHosted(use.group, host -> host.grantor.cancel(self, use.id));
        } else {
            peers.send(grantor, new PeerMessage.SlotCancel(use.group, use.id));
        }
    }

    private void giveBack(String grantor, GroupId group, long askId, SlotOutcome outcome) {
        if (grantor.equals(PRIVATE)) {
            SlotGrantor share = privateShares.get(group);
            if (share != null) {
                deliver(group, PRIVATE, share.release(self, askId, outcome));
            }
        } else if (grantor.equals(self)) {
            withHosted(group, host -> deliver(group, self, host.grantor.release(self, askId, outcome)));
        } else {
            peers.send(grantor, new PeerMessage.SlotRelease(group, askId, outcome));
        }
    }

    private void doubtSilentGrantors(long now) {
        Use use = unacknowledged.peek();
        while (use != null) {
            boolean settled = use.acknowledged || use.state.get() != UseState.WAITING;
            if (!settled && now - use.sentNanos < ackTimeout(use.grantor)) {
                return;
            }
            unacknowledged.poll();
            if (!settled) {
                doubted.add(use.grantor);
                doubts.incrementAndGet();
                withdraw(use);
                askPrivately(use);
            }
            use = unacknowledged.peek();
        }
    }

    private long ackTimeout(String grantor) {
        String region = Groups.regionOf(view, self);
        return region.equals(Groups.regionOf(view, grantor)) ? ACK_TIMEOUT_NANOS : FAR_ACK_TIMEOUT_NANOS;
    }

    private void refuseLate(long now) {
        for (Use use : uses.values()) {
            if (use.state.get() == UseState.WAITING && now >= use.want.deadlineNanos()) {
                withdraw(use);
                finishRefused(use, Refusal.TOO_LATE);
            }
        }
    }

    private List<PeerMessage.Holding> holdings(GroupId group) {
        List<PeerMessage.Holding> holdings = new ArrayList<>();
        for (Use use : uses.values()) {
            Endpoint endpoint = use.granted;
            if (use.group.equals(group) && use.state.get() == UseState.GRANTED && endpoint != null) {
                holdings.add(new PeerMessage.Holding(use.id, endpoint.id(), use.want.rank()));
            }
        }
        return holdings;
    }

    private RandomGenerator nextRandom() {
        synchronized (random) {
            return random.split();
        }
    }

    private void withHosted(GroupId group, java.util.function.Consumer<Hosted> action) {
        Hosted host = hosted.get(group);
        if (host != null) {
            action.accept(host);
        }
    }

    private static Set<String> names(List<Member> members) {
        Set<String> names = new HashSet<>();
        members.forEach(member -> names.add(member.name()));
        return names;
    }
}
