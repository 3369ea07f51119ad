package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.place.CacheSizeEstimator;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.Pool;
import org.jspecify.annotations.Nullable;

/**
 * Requests slots for this entry instance from the grantor of each group, and hosts the grantors of some groups itself.
 *
 * <p>A grantor that does not respond within a few round trips is suspected to have failed: until its next message, this
 * entry instance uses a fallback share of the endpoints, one slot of each, so that no request waits for a failed
 * grantor. Does no I/O and has no thread; safe for use by several threads.
 */
public final class SlotBroker implements SlotSource {
    /** Time without a response after which a grantor in the same region is suspected. */
    private static final long ACK_TIMEOUT_NANOS = 25_000_000L;
    /** Time without a response after which a grantor in another region is suspected. */
    private static final long REMOTE_ACK_TIMEOUT_NANOS = 200_000_000L;
    /** Maximum time that a new grantor waits for reports of the slots in use. */
    private static final long RECOVERY_TIMEOUT_NANOS = 300_000_000L;
    /** Number of grants that are rejected for one request before it is refused. */
    private static final int MAX_REJECTED_GRANTS = 4;
    /** Grantor name of slots from the fallback share. */
    private static final String FALLBACK = "";

    private enum RequestState {
        WAITING,
        GRANTED,
        DONE
    }

    /** A request of this entry instance for a slot, until the release of the slot. */
    private final class LocalRequest implements PendingSlot, Lease {
        final long id;
        final GroupId group;
        volatile SlotRequest.Requirements requirements;
        final AtomicInteger rejectedGrants = new AtomicInteger();
        final long sinceNanos;
        final SlotCallback callback;
        final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.WAITING);
        volatile String grantor = FALLBACK;
        volatile long sentNanos;
        volatile boolean acknowledged;
        volatile @Nullable Endpoint granted;
        volatile long grantedNanos;
        volatile LimitNotice notice = LimitNotice.UNKNOWN;
        volatile boolean isEndpointLeaving;

        LocalRequest(long id, GroupId group, SlotRequest.Requirements requirements, SlotCallback callback) {
            this.id = id;
            this.group = group;
            this.requirements = requirements;
            this.sinceNanos = ticker.nanos();
            this.callback = callback;
        }

        SlotRequest toSlotRequest() {
            return new SlotRequest(self, id, zone, sinceNanos, requirements);
        }

        @Override
        public void cancel() {
            if (state.compareAndSet(RequestState.WAITING, RequestState.DONE)) {
                localRequests.remove(id);
                cancelAtGrantor(this);
                callback.refused(Refusal.CANCELLED);
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
        public void limitNoticed(LimitNotice newNotice) {
            notice = newNotice;
            limitSync.noticed(group, endpoint().id(), newNotice, grantedNanos, self);
        }

        @Override
        public void leavingAnnounced() {
            isEndpointLeaving = true;
            leaving.mark(endpoint().id(), LeavingEndpoints.Source.RESPONSE, self);
        }

        @Override
        public void release(SlotOutcome outcome) {
            if (state.compareAndSet(RequestState.GRANTED, RequestState.DONE)) {
                localRequests.remove(id);
                returnSlot(
                        grantor,
                        group,
                        id,
                        isEndpointLeaving && !outcome.mayStillRun() ? SlotOutcome.LEAVING : outcome,
                        EndpointLimitSync.report(endpoint().id(), notice));
            }
        }
    }

    /** A group whose grantor is this entry instance. */
    private static final class HostedGroup {
        final Pool pool;
        final SlotGrantor grantor;
        final Set<String> awaitingReports = new HashSet<>();
        long recoveryDeadlineNanos;

        HostedGroup(Pool pool, SlotGrantor grantor) {
            this.pool = pool;
            this.grantor = grantor;
        }
    }

    private final String self;
    private final String zone;
    private final Ticker ticker;
    private final PeerSender peers;
    private final SplittableRandom random;
    private final AtomicLong nextRequestId;
    private final Map<Long, LocalRequest> localRequests = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<LocalRequest> unacknowledged = new ConcurrentLinkedQueue<>();
    private final Map<GroupId, HostedGroup> hosted = new ConcurrentHashMap<>();
    private final Map<GroupId, SlotGrantor> fallbackShares = new ConcurrentHashMap<>();
    private final Map<GroupId, String> grantors = new ConcurrentHashMap<>();
    private final Set<String> suspected = ConcurrentHashMap.newKeySet();
    private final AtomicLong fallbacks = new AtomicLong();
    private final EndpointLimits limits;
    private final EndpointLimitSync limitSync;
    private final RateShare rateShare;
    private final LeavingEndpoints leaving;
    private final EndpointLeavingSync leavingSync;
    /** Number of objects that an endpoint caches, by pool, as last reported by a grantor. */
    private final Map<String, Integer> cacheSizes = new ConcurrentHashMap<>();

    private volatile SteeringView view = SteeringView.empty();

    /**
     * Creates a broker.
     *
     * @param self name of this entry instance
     * @param zone availability zone of this entry instance
     * @param ticker clock
     * @param random source of randomness, used under a lock
     * @param peers sender of messages to other grantors and holders
     */
    public SlotBroker(String self, String zone, Ticker ticker, RandomGenerator random, PeerSender peers) {
        this(
                self,
                zone,
                ticker,
                random,
                peers,
                EndpointLimits.NO_LISTENER,
                new LeavingEndpoints(ticker, LeavingEndpoints.NO_LISTENER));
    }

    /**
     * Creates a broker that reports the rate limits of endpoints.
     *
     * @param self name of this entry instance
     * @param zone availability zone of this entry instance
     * @param ticker clock
     * @param random source of randomness, used under a lock
     * @param peers sender of messages to other grantors and holders
     * @param limitListener receives the changes of rate limits
     * @param leaving endpoints that are leaving, to which no slot is used
     */
    public SlotBroker(
            String self,
            String zone,
            Ticker ticker,
            RandomGenerator random,
            PeerSender peers,
            EndpointLimits.Listener limitListener,
            LeavingEndpoints leaving) {
        this.self = self;
        this.leaving = leaving;
        this.leavingSync = new EndpointLeavingSync(ticker, peers, leaving);
        this.limits = new EndpointLimits(ticker, limitListener);
        this.limitSync = new EndpointLimitSync(ticker, peers, limits);
        this.rateShare = new RateShare(ticker);
        this.zone = zone;
        this.ticker = ticker;
        this.peers = peers;
        this.random = new SplittableRandom(random.nextLong());
        this.nextRequestId = new AtomicLong(random.nextLong() & (Long.MAX_VALUE >> 1));
    }

    @Override
    public PendingSlot acquire(GroupId group, SlotRequest.Requirements requirements, SlotCallback callback) {
        LocalRequest request = new LocalRequest(nextRequestId.getAndIncrement(), group, requirements, callback);
        localRequests.put(request.id, request);
        send(request);
        return request;
    }

    /** Applies a new view: reassigns grantors, updates endpoints, and drops holders that are no longer members. */
    public synchronized void updateView(SteeringView newView) {
        Set<String> before = names(view.members());
        boolean wasJoining = Groups.isJoining(view, self);
        view = newView;
        boolean hasJoined = wasJoining && !Groups.isJoining(newView, self);
        Set<String> now = names(newView.members());
        Map<GroupId, String> oldGrantors = new HashMap<>(grantors);
        for (GroupId group : Groups.all(newView)) {
            assignGrantor(group, oldGrantors.get(group), hasJoined);
        }
        for (Map.Entry<GroupId, HostedGroup> entry : hosted.entrySet()) {
            refresh(entry.getKey(), entry.getValue(), before, now);
        }
        fallbackShares.forEach((group, share) -> deliver(group, FALLBACK, updateFallbackShare(group, share)));
        suspected.retainAll(now);
        updateLimits(newView, before, now);
    }

    /** Applies a new view to the rate limits, and tells those of the hosted groups to members that have joined. */
    private void updateLimits(SteeringView newView, Set<String> before, Set<String> now) {
        rateShare.update(now, Groups.leavingMembers(newView));
        limits.retain(newView.endpoints().instances().stream().map(Instance::id).collect(Collectors.toSet()));
        Set<String> joined = new HashSet<>(now);
        joined.removeAll(before);
        joined.remove(self);
        for (GroupId group : hosted.keySet()) {
            limitSync.send(group, limitSync.known(Groups.endpoints(newView, group)), joined);
        }
    }

    /**
     * Counts entry instances as known that may be running although this one, which has just started, has not heard of them.
     *
     * @param names names of the entry instances that the platform lists
     */
    public void expectMembers(Collection<String> names) {
        rateShare.expect(names);
    }

    /** Handles a message of a peer; messages that are not about slots are ignored. */
    public void receive(String from, PeerMessage message) {
        suspected.remove(from);
        if (message instanceof PeerMessage.SlotAsk request) {
            onSlotRequest(from, request);
        } else if (message instanceof PeerMessage.SlotQueued queued) {
            onQueued(queued.askId());
        } else if (message instanceof PeerMessage.SlotDeclined declined) {
            onDeclined(from, declined.askId());
        } else if (message instanceof PeerMessage.SlotGranted granted) {
            onGranted(from, granted.group(), granted.askId(), granted.endpoint());
        } else if (message instanceof PeerMessage.SlotRefused refused) {
            onRefused(from, refused.askId(), refused.why(), refused.rateBound());
        } else if (message instanceof PeerMessage.SlotCancel cancel) {
            withHosted(cancel.group(), host -> host.grantor.cancel(from, cancel.askId()));
        } else if (message instanceof PeerMessage.SlotRelease release) {
            onRelease(from, release);
        } else if (message instanceof PeerMessage.HoldingsQuery query) {
            peers.send(
                    from,
                    new PeerMessage.Holdings(
                            query.group(),
                            holdings(query.group()),
                            limitSync.known(Groups.endpoints(view, query.group()))));
        } else if (message instanceof PeerMessage.Holdings holdings) {
            onHoldings(from, holdings);
        } else if (message instanceof PeerMessage.LimitsChanged changed) {
            limitSync.learn(from, changed.limits());
        } else if (message instanceof PeerMessage.EndpointsLeaving announced) {
            announced.endpointIds().forEach(id -> leaving.mark(id, LeavingEndpoints.Source.PEER, from));
        }
    }

    private void onRelease(String from, PeerMessage.SlotRelease release) {
        withHosted(release.group(), host -> {
            release.limit().ifPresent(limit -> {
                OptionalLong granted = host.grantor.grantedNanos(from, release.askId());
                Long grantedNanos = granted.isPresent() ? granted.getAsLong() : null;
                limitSync.noticed(release.group(), limit.endpointId(), limit.notice(), grantedNanos, from);
            });
            deliver(release.group(), self, host.grantor.release(from, release.askId(), release.outcome()));
        });
    }

    /** Does time-driven work; to be called every few milliseconds. */
    public void tick() {
        long now = ticker.nanos();
        double currentShare = currentRateShare();
        hosted.forEach((group, host) -> {
            host.grantor.setRateShare(currentShare);
            endRecoveryIfDue(group, host, now);
            deliver(group, self, host.grantor.tick());
        });
        fallbackShares.forEach((group, share) -> deliver(group, FALLBACK, share.tick()));
        suspectSilentGrantors(now);
        refuseExpired(now);
        limitSync.announce(hosted.keySet(), Groups.otherMembers(view, self));
        leavingSync.announce(Groups.otherMembers(view, self));
    }

    /** Returns the share of the endpoints' rate limits that the grantors of this entry instance may use. */
    private double currentRateShare() {
        return Groups.isJoining(view, self) ? rateShare.alone() : rateShare.current();
    }

    /** Returns the load of the groups whose grantor is this entry instance. */
    public List<PeerMessage.GroupReport> loads() {
        List<PeerMessage.GroupReport> loads = new ArrayList<>();
        hosted.forEach((group, host) ->
                loads.add(new PeerMessage.GroupReport(group, host.grantor.load(), host.grantor.knownCacheSize())));
        return loads;
    }

    /** Notes the sizes of caches that grantors have found, for groups whose grantor this entry instance becomes. */
    public void learnCacheSizes(List<PeerMessage.GroupReport> reports) {
        for (PeerMessage.GroupReport report : reports) {
            if (report.cachedObjects() > 0) {
                cacheSizes.put(report.group().pool(), report.cachedObjects());
            }
        }
    }

    private CacheSizeEstimator cacheSizeEstimator(String pool) {
        Integer reported = cacheSizes.get(pool);
        return reported == null ? new CacheSizeEstimator() : new CacheSizeEstimator(reported);
    }

    /** Returns the number of queued requests and held slots of this entry instance. */
    public int inUse() {
        return localRequests.size();
    }

    /** Returns how many requests moved to a fallback share because their grantor did not respond. */
    public long fallbacks() {
        return fallbacks.get();
    }

    /** Returns the number of endpoints that have named a rate limit, as far as this entry instance knows. */
    public int limitedEndpoints() {
        return limits.size();
    }

    /** Returns the name of the grantor of a group, or empty if there are no members. */
    public Optional<String> grantorOf(GroupId group) {
        return Optional.ofNullable(grantors.get(group));
    }

    private void send(LocalRequest request) {
        String grantor = grantors.get(request.group);
        if (grantor == null) {
            request.grantor = FALLBACK;
            refuse(request, Refusal.NO_ENDPOINT);
            return;
        }
        if (grantor.equals(self)) {
            HostedGroup host = hosted.get(request.group);
            if (host != null) {
                request.grantor = self;
                deliver(request.group, self, host.grantor.request(request.toSlotRequest()));
                return;
            }
        }
        if (grantor.equals(self) || suspected.contains(grantor)) {
            requestFromFallback(request);
            return;
        }
        requestFromPeer(request, grantor);
    }

    private void requestFromPeer(LocalRequest request, String grantor) {
        long now = ticker.nanos();
        request.grantor = grantor;
        request.acknowledged = false;
        request.sentNanos = now;
        unacknowledged.add(request);
        peers.send(
                grantor,
                new PeerMessage.SlotAsk(
                        request.group,
                        request.id,
                        zone,
                        now - request.sinceNanos,
                        new SlotRequest.Requirements(
                                request.requirements.rank(),
                                request.requirements.dueNanos() - now,
                                request.requirements.deadlineNanos() - now,
                                request.requirements.avoid(),
                                request.requirements.object())));
    }

    private void requestFromFallback(LocalRequest request) {
        request.grantor = FALLBACK;
        request.acknowledged = true;
        SlotGrantor share = fallbackShares.computeIfAbsent(request.group, this::newFallbackShare);
        if (share == null) {
            refuse(request, Refusal.NO_ENDPOINT);
            return;
        }
        deliver(request.group, FALLBACK, share.request(request.toSlotRequest()));
    }

    private @Nullable SlotGrantor newFallbackShare(GroupId group) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            return null;
        }
        SlotGrantor share = FallbackShare.grantor(pool, ticker, nextRandom(), limits);
        updateFallbackShare(group, share);
        return share;
    }

    /** Updates the endpoints of a fallback share; leaving ones are divided too, so that the shares stay disjoint. */
    private List<SlotDecision> updateFallbackShare(GroupId group, SlotGrantor share) {
        List<ListedEndpoint> endpoints = Groups.endpoints(view, group);
        Collection<String> candidates = Groups.candidates(view, group);
        share.setRateShare(FallbackShare.rateShare(endpoints.size(), candidates, self));
        return share.updateEndpoints(FallbackShare.partOf(endpoints, candidates, self));
    }

    /**
     * Assigns a group to its grantor according to the view, and moves its queued requests there.
     *
     * @param hasJoined whether this entry instance granted slots for itself alone until now, if it did
     */
    private void assignGrantor(GroupId group, @Nullable String oldGrantor, boolean hasJoined) {
        Collection<String> candidates = Groups.candidates(view, group);
        String grantor = candidates.isEmpty() && Groups.isJoining(view, self)
                ? self
                : Rendezvous.owner(group.key(), candidates).orElse(null);
        if (grantor == null) {
            grantors.remove(group);
            return;
        }
        if (grantor.equals(oldGrantor)) {
            rehostIfChanged(group, hasJoined);
            return;
        }
        if (grantor.equals(self)) {
            host(group);
        }
        grantors.put(group, grantor);
        HostedGroup previous = grantor.equals(self) ? null : hosted.remove(group);
        if (previous != null) {
            decline(previous);
        }
        for (LocalRequest request : List.copyOf(localRequests.values())) {
            if (request.group.equals(group)) {
                moveTo(request, grantor);
            }
        }
    }

    private void moveTo(LocalRequest request, String grantor) {
        if (request.state.get() == RequestState.WAITING) {
            cancelAtGrantor(request);
            send(request);
        } else if (request.state.get() == RequestState.GRANTED && !request.grantor.equals(FALLBACK)) {
            request.grantor = grantor;
        }
    }

    /** Becomes the grantor of a group; first recovers which of its slots are in use. */
    private void host(GroupId group) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            return;
        }
        HostedGroup host = new HostedGroup(
                pool, new SlotGrantor(pool, ticker, nextRandom(), limits, cacheSizeEstimator(pool.name())));
        host.grantor.setRateShare(currentRateShare());
        host.grantor.beginRecovery();
        host.recoveryDeadlineNanos = ticker.nanos() + RECOVERY_TIMEOUT_NANOS;
        deliver(group, self, host.grantor.updateEndpoints(Groups.endpoints(view, group)));
        for (PeerMessage.Holding holding : holdings(group)) {
            host.grantor.adopt(self, holding.askId(), holding.endpointId(), holding.rank());
        }
        for (Member member : view.members()) {
            if (!member.name().equals(self)) {
                host.awaitingReports.add(member.name());
            }
        }
        hosted.put(group, host);
        for (String peer : Set.copyOf(host.awaitingReports)) {
            peers.send(peer, new PeerMessage.HoldingsQuery(group));
        }
        endRecoveryIfDue(group, host, ticker.nanos());
    }

    /** Recreates the grantor if the row of the pool was edited or it did not serve others; queued requests are kept. */
    private void rehostIfChanged(GroupId group, boolean hasJoined) {
        HostedGroup previous = hosted.get(group);
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (previous == null || pool == null || (pool.equals(previous.pool) && !hasJoined)) {
            return;
        }
        List<SlotRequest> waiting = previous.grantor.drain();
        host(group);
        withHosted(group, host -> waiting.forEach(request -> deliver(group, self, host.grantor.request(request))));
        fallbackShares.remove(group);
    }

    private void decline(HostedGroup previous) {
        for (SlotRequest request : previous.grantor.drain()) {
            if (!request.holder().equals(self)) {
                peers.send(request.holder(), new PeerMessage.SlotDeclined(request.id()));
            }
        }
    }

    private void refresh(GroupId group, HostedGroup host, Set<String> before, Set<String> now) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        if (pool == null) {
            deliver(group, self, host.grantor.updateEndpoints(List.of()));
            return;
        }
        for (String name : before) {
            if (!now.contains(name)) {
                host.grantor.removeHolder(name);
                synchronized (host) {
                    host.awaitingReports.remove(name);
                }
            }
        }
        deliver(group, self, host.grantor.updateEndpoints(Groups.endpoints(view, group)));
    }

    private void endRecoveryIfDue(GroupId group, HostedGroup host, long now) {
        boolean due;
        synchronized (host) {
            due = host.recoveryDeadlineNanos != 0
                    && (host.awaitingReports.isEmpty() || now >= host.recoveryDeadlineNanos);
            if (due) {
                host.recoveryDeadlineNanos = 0;
            }
        }
        if (due) {
            deliver(group, self, host.grantor.endRecovery());
        }
    }

    private void onSlotRequest(String from, PeerMessage.SlotAsk message) {
        HostedGroup host = hosted.get(message.group());
        if (host == null) {
            peers.send(from, new PeerMessage.SlotDeclined(message.askId()));
            return;
        }
        long now = ticker.nanos();
        SlotRequest.Requirements relative = message.want();
        SlotRequest.Requirements requirements = new SlotRequest.Requirements(
                relative.rank(),
                now + relative.dueNanos(),
                now + relative.deadlineNanos(),
                relative.avoid(),
                relative.object());
        SlotRequest request =
                new SlotRequest(from, message.askId(), message.zone(), now - message.waitedNanos(), requirements);
        List<SlotDecision> decisions = host.grantor.request(request);
        boolean isDecided =
                decisions.stream().anyMatch(decision -> decision.request().equals(request));
        if (!isDecided) {
            peers.send(from, new PeerMessage.SlotQueued(message.askId()));
        }
        deliver(message.group(), self, decisions);
    }

    private void onQueued(long requestId) {
        LocalRequest request = localRequests.get(requestId);
        if (request != null) {
            request.acknowledged = true;
        }
    }

    private void onDeclined(String from, long requestId) {
        LocalRequest request = localRequests.get(requestId);
        if (request != null && request.grantor.equals(from) && request.state.get() == RequestState.WAITING) {
            requestFromFallback(request);
        }
    }

    private void onGranted(String from, GroupId group, long requestId, Endpoint endpoint) {
        LocalRequest request = localRequests.get(requestId);
        if (request != null && request.grantor.equals(from)) {
            request.acknowledged = true;
            SlotOutcome reasonToReject = reasonToReject(endpoint);
            if (reasonToReject != null && request.state.get() == RequestState.WAITING) {
                rejectGrant(request, from, endpoint, reasonToReject);
                return;
            }
            request.granted = endpoint;
            request.grantedNanos = ticker.nanos();
            if (request.state.compareAndSet(RequestState.WAITING, RequestState.GRANTED)) {
                request.callback.granted(request);
                return;
            }
        }
        returnSlot(from, group, requestId, SlotOutcome.UNUSED, Optional.empty());
    }

    /**
     * Returns the outcome with which a granted slot must be rejected, or null if it may be used. The view may not have a
     * mark yet, or no longer list its endpoint. A grantor that is
     * disconnected from the store may not know yet that an endpoint is leaving or that its zone is evacuated.
     */
    private @Nullable SlotOutcome reasonToReject(Endpoint endpoint) {
        EndpointDirectory known = view.endpoints();
        if (leaving.contains(endpoint.id()) || known.isLeavingOrGone(endpoint.id())) {
            return SlotOutcome.LEAVING;
        }
        return known.evacuatedZones().contains(endpoint.zone()) ? SlotOutcome.UNUSED : null;
    }

    /** Returns a slot that must not be used, and requests another one. */
    private void rejectGrant(LocalRequest request, String grantor, Endpoint endpoint, SlotOutcome reasonToReject) {
        returnSlot(grantor, request.group, request.id, reasonToReject, Optional.empty());
        if (request.rejectedGrants.incrementAndGet() >= MAX_REJECTED_GRANTS) {
            refuse(request, Refusal.NO_ENDPOINT);
            return;
        }
        request.requirements = request.requirements.avoiding(endpoint.id());
        send(request);
    }

    private void onRefused(String from, long requestId, Refusal reason, Optional<RateBound> rateBound) {
        LocalRequest request = localRequests.get(requestId);
        if (request != null && request.grantor.equals(from)) {
            refuse(request, reason, rateBound);
        }
    }

    private void onHoldings(String from, PeerMessage.Holdings message) {
        HostedGroup host = hosted.get(message.group());
        if (host == null) {
            return;
        }
        limitSync.learn(from, message.limits());
        for (PeerMessage.Holding holding : message.holdings()) {
            host.grantor.adopt(from, holding.askId(), holding.endpointId(), holding.rank());
        }
        synchronized (host) {
            host.awaitingReports.remove(from);
        }
        endRecoveryIfDue(message.group(), host, ticker.nanos());
    }

    /** Delivers the decisions of a grantor to the holders. */
    private void deliver(GroupId group, String grantor, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            SlotRequest request = decision.request();
            if (decision instanceof SlotDecision.Granted granted) {
                if (request.holder().equals(self)) {
                    onGranted(grantor, group, request.id(), granted.endpoint());
                } else {
                    peers.send(request.holder(), new PeerMessage.SlotGranted(group, request.id(), granted.endpoint()));
                }
            } else if (decision instanceof SlotDecision.Refused refused) {
                if (request.holder().equals(self)) {
                    onRefused(grantor, request.id(), refused.why(), refused.rateBound());
                } else {
                    peers.send(
                            request.holder(),
                            new PeerMessage.SlotRefused(request.id(), refused.why(), refused.rateBound()));
                }
            }
        }
    }

    private void refuse(LocalRequest request, Refusal reason) {
        refuse(request, reason, Optional.empty());
    }

    private void refuse(LocalRequest request, Refusal reason, Optional<RateBound> rateBound) {
        if (request.state.compareAndSet(RequestState.WAITING, RequestState.DONE)) {
            localRequests.remove(request.id);
            rateBound.ifPresentOrElse(request.callback::refusedByRate, () -> request.callback.refused(reason));
        }
    }

    /** Cancels a request at the grantor that it was sent to. */
    private void cancelAtGrantor(LocalRequest request) {
        String grantor = request.grantor;
        if (grantor.equals(FALLBACK)) {
            SlotGrantor share = fallbackShares.get(request.group);
            if (share != null) {
                share.cancel(self, request.id);
            }
        } else if (grantor.equals(self)) {
            withHosted(request.group, host -> host.grantor.cancel(self, request.id));
        } else {
            peers.send(grantor, new PeerMessage.SlotCancel(request.group, request.id));
        }
    }

    private void returnSlot(
            String grantor,
            GroupId group,
            long requestId,
            SlotOutcome outcome,
            Optional<PeerMessage.EndpointLimit> limit) {
        if (grantor.equals(FALLBACK)) {
            SlotGrantor share = fallbackShares.get(group);
            if (share != null) {
                deliver(group, FALLBACK, share.release(self, requestId, outcome));
            }
        } else if (grantor.equals(self)) {
            withHosted(group, host -> deliver(group, self, host.grantor.release(self, requestId, outcome)));
        } else {
            peers.send(grantor, new PeerMessage.SlotRelease(group, requestId, outcome, limit));
        }
    }

    private void suspectSilentGrantors(long now) {
        LocalRequest request = unacknowledged.peek();
        while (request != null) {
            boolean resolved = request.acknowledged || request.state.get() != RequestState.WAITING;
            if (!resolved && now - request.sentNanos < ackTimeout(request.grantor)) {
                return;
            }
            unacknowledged.poll();
            if (!resolved) {
                suspected.add(request.grantor);
                fallbacks.incrementAndGet();
                cancelAtGrantor(request);
                requestFromFallback(request);
            }
            request = unacknowledged.peek();
        }
    }

    private long ackTimeout(String grantor) {
        String region = Groups.regionOf(view, self);
        return region.equals(Groups.regionOf(view, grantor)) ? ACK_TIMEOUT_NANOS : REMOTE_ACK_TIMEOUT_NANOS;
    }

    private void refuseExpired(long now) {
        for (LocalRequest request : localRequests.values()) {
            if (request.state.get() == RequestState.WAITING && now >= request.requirements.deadlineNanos()) {
                cancelAtGrantor(request);
                refuse(request, Refusal.TOO_LATE);
            }
        }
    }

    /** Returns the slots that requests of this entry instance hold and will return to the grantor of a group. */
    private List<PeerMessage.Holding> holdings(GroupId group) {
        List<PeerMessage.Holding> holdings = new ArrayList<>();
        for (LocalRequest request : localRequests.values()) {
            Endpoint endpoint = request.granted;
            // A slot of the fallback share is returned to it; a grantor that counted it would never get it back.
            if (request.group.equals(group)
                    && request.state.get() == RequestState.GRANTED
                    && !request.grantor.equals(FALLBACK)
                    && endpoint != null) {
                holdings.add(new PeerMessage.Holding(request.id, endpoint.id(), request.requirements.rank()));
            }
        }
        return holdings;
    }

    private RandomGenerator nextRandom() {
        synchronized (random) {
            return random.split();
        }
    }

    private void withHosted(GroupId group, java.util.function.Consumer<HostedGroup> action) {
        HostedGroup host = hosted.get(group);
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
