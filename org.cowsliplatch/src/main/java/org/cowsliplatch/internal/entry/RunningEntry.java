package org.cowsliplatch.internal.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.admin.AdminHandler;
import org.cowsliplatch.internal.limit.EndpointLimits;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.link.LinkLeases;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberLifecycle;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.once.KeyIssuer;
import org.cowsliplatch.internal.once.KeyLedgerRegistry;
import org.cowsliplatch.internal.once.StoreClaims;
import org.cowsliplatch.internal.peer.PeerListener;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerTransport;
import org.cowsliplatch.internal.platform.BudgetedTableService;
import org.cowsliplatch.internal.proxy.BackendClient;
import org.cowsliplatch.internal.proxy.CallerDisconnectMonitor;
import org.cowsliplatch.internal.proxy.CallerHandler;
import org.cowsliplatch.internal.proxy.EntryContext;
import org.cowsliplatch.internal.proxy.Headers;
import org.cowsliplatch.internal.proxy.ServingPolicy;
import org.cowsliplatch.internal.proxy.TablesOrigin;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.InstanceFollower;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.steer.RegionChooser;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.table.TableFollower;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TableReader;
import org.cowsliplatch.internal.table.TableSync;
import org.cowsliplatch.internal.table.TablesFormat;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.platform.PlatformServices;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.table.TableVersion;
import org.jboss.logging.Logger;

/** An entry instance: connects its components and runs their periodic tasks. */
public final class RunningEntry implements PeerListener, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RunningEntry.class);
    /** Interval between ticks of the slot broker while slots are held or waited for here. */
    private static final long SLOT_TICK_MS = 5;

    private static final long IDLE_SLOT_TICK_MS = 25;
    private static final long HEARTBEAT_MS = 800;
    /** Time within which a closed caller connection is detected, so that its request is cancelled well within 0.5 s. */
    private static final long CALLER_CHECK_MS = 150;

    private static final long KEY_SWEEP_MS = 30_000;
    private static final int SECRET_BYTES = 32;
    private static final int PLATFORM_THREADS = 4;
    /** Longest time that the instance list is waited for before only the seeds count as peers. */
    private static final Duration MAX_JOIN_TIME = Duration.ofSeconds(2);

    private static final double READS_PER_SECOND = 20;
    private static final double WRITES_PER_SECOND = 10;
    private static final double KEY_WRITES_PER_SECOND = 10;
    /** Operations that each rate limit of the table service allows in a burst. */
    private static final double BURST = 60;

    private final Settings settings;
    private final Ticker ticker = Ticker.system();
    private final String incarnation;
    private final Metrics metrics = new Metrics();
    private final Tracing tracing;
    private final TableLog log;
    private final TableReader reader;
    private final TableEditor editor;
    private final TableFollower tableFollower;
    private final TableSync tableSync;
    private final InstanceFollower instanceFollower;
    private final SteeringViewHolder views;
    private final Membership membership;
    private final LeavingEndpoints leaving;
    private final SlotBroker broker;
    private final Headroom headroom;
    private final PeerDuties duties;
    private final LinkLeases linkLeases;
    private final LinkPacer linkPacer;
    private final KeyLedgerRegistry keys;
    private final BackendClient client = new BackendClient();
    private final CallerDisconnectMonitor disconnectMonitor = new CallerDisconnectMonitor();
    private final PeerTransport transport;
    private final CallerHandler callerHandler;
    private final PlannedStop plannedStop;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final ScheduledExecutorService blocking = Executors.newScheduledThreadPool(PLATFORM_THREADS);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final long startNanos;
    private final MemberLifecycle lifecycle;
    private volatile InetSocketAddress callerAddress;
    private volatile InetSocketAddress peerAddress;
    private volatile InetSocketAddress adminAddress;
    private final List<HttpListener> listeners = new ArrayList<>();

    private RunningEntry(Settings settings, PlatformServices platform) {
        this.settings = settings;
        this.startNanos = ticker.nanos();
        this.incarnation = HexFormat.of().toHexDigits(new SecureRandom().nextLong());
        this.callerAddress = settings.listen().caller();
        this.peerAddress = settings.listen().peer();
        this.adminAddress = settings.listen().admin();
        this.tracing = new Tracing(settings.instance(), settings.telemetry().otlp());
        SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
        this.membership = new Membership(settings.instance(), ticker);
        this.lifecycle = new MemberLifecycle(ticker);
        this.transport = new PeerTransport(this::self, ticker, this);
        this.leaving = new LeavingEndpoints(ticker, RunningEntry::logLeaving);
        this.broker = new SlotBroker(
                settings.instance(),
                settings.zone(),
                ticker,
                random.split(),
                transport,
                EndpointLimits.NO_LISTENER,
                leaving);
        this.views = new SteeringViewHolder(broker::updateView, leaving);
        this.log = new TableLog(this::onTables);
        TableService tableRows = budgeted(platform.tables(), "tables", WRITES_PER_SECOND);
        this.reader = new TableReader(tableRows, platform.objects());
        this.editor = new TableEditor(tableRows, platform.objects(), InstantSource.system());
        this.tableFollower = new TableFollower(reader, log, random.split());
        this.tableSync =
                new TableSync(ticker, log, transport, TablesFormat.JSON, () -> metrics.alarm("table-regression"));
        this.instanceFollower =
                new InstanceFollower(platform.instances(), settings.platform().entryService(), views, random.split());
        this.keys = createKeyLedgers(budgeted(platform.tables(), "keys", KEY_WRITES_PER_SECOND));
        this.headroom = new Headroom(ticker, Headroom.CONSERVATIVE_REQUESTS_PER_FREE_SLOT);
        this.duties = new PeerDuties(this::self, membership, transport, views, broker, headroom, tableSync);
        this.linkLeases = new LinkLeases(
                settings,
                budgeted(platform.tables(), "links", WRITES_PER_SECOND),
                keys.domain(),
                ticker,
                random.split());
        this.linkPacer = new LinkPacer(settings, ticker, linkLeases::units);
        EntryContext context = createContext();
        this.callerHandler = new CallerHandler(
                context,
                new EntryLookup(settings.limits().lookupTtl(), InstantSource.system(), () -> ThreadLocalRandom.current()
                        .nextDouble()));
        this.plannedStop = new PlannedStop(settings.limits(), ticker, keys, transport, membership, callerHandler);
        registerGauges();
    }

    /**
     * Starts an entry instance.
     *
     * @throws EntryStartException if a listener can't be bound
     */
    public static RunningEntry start(Settings settings, PlatformServices platform) throws EntryStartException {
        RunningEntry entry = new RunningEntry(settings, platform);
        try {
            entry.open();
        } catch (EntryStartException e) {
            entry.close();
            throw e;
        }
        return entry;
    }

    private void open() throws EntryStartException {
        client.start();
        peerAddress = transport.start(settings.listen().peer());
        int headerBytes = settings.limits().headerBytes();
        HttpListener caller = HttpListener.callers(settings.listen().caller(), headerBytes, callerHandler);
        listeners.add(caller);
        callerAddress = caller.address();
        HttpListener admin = HttpListener.operators(
                settings.listen().admin(),
                headerBytes,
                settings.admin().keyStore(),
                new AdminHandler(createAdmin(), settings.admin().token()));
        listeners.add(admin);
        adminAddress = admin.address();
        views.updateMembers(membership.peers(), self());
        Repeater.repeat(timers, this::tick, () -> broker.inUse() > 0 ? SLOT_TICK_MS : IDLE_SLOT_TICK_MS);
        Repeater.repeat(timers, this::heartbeat, () -> HEARTBEAT_MS);
        Repeater.repeat(timers, disconnectMonitor::checkConnections, () -> CALLER_CHECK_MS);
        Repeater.repeat(timers, keys::sweep, () -> KEY_SWEEP_MS);
        Repeater.repeat(blocking, this::pollTables, tableFollower::nextDelayMs);
        Repeater.repeat(blocking, () -> linkLeases.step(linkPacer), linkLeases::nextDelayMs);
        Repeater.repeat(blocking, this::pollInstances, instanceFollower::nextDelayMs);
        LOG.infof(
                "entry instance %s listens for callers on %s, peers on %s, operators on %s",
                settings.instance(),
                Addresses.text(callerAddress),
                Addresses.text(peerAddress),
                Addresses.text(adminAddress));
    }

    private TableService budgeted(TableService service, String purpose, double writesPerSecond) {
        return new BudgetedTableService(
                service,
                purpose,
                new TokenBucket(ticker, READS_PER_SECOND, BURST),
                new TokenBucket(ticker, writesPerSecond, BURST),
                metrics);
    }

    private KeyLedgerRegistry createKeyLedgers(TableService rows) {
        String domain = settings.instance() + "~" + incarnation;
        TokenBucket budget = new TokenBucket(ticker, KEY_WRITES_PER_SECOND, BURST);
        return new KeyLedgerRegistry(
                new KeyIssuer(domain, createSecret(), ticker, startNanos),
                new KeyIssuer("", createSecret(), ticker, startNanos),
                new StoreClaims(rows, domain, budget),
                ticker,
                settings.limits().keyRecordBytes());
    }

    private static byte[] createSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    private EntryContext createContext() {
        return new EntryContext(
                settings.instance(),
                ticker,
                views::current,
                version -> TablesOrigin.UNKNOWN,
                broker,
                new RegionChooser(
                        settings.region(), () -> ThreadLocalRandom.current().nextDouble()),
                new RetryBudgets(),
                Optional.of(keys),
                client,
                headroom,
                linkPacer,
                timers,
                metrics,
                tracing,
                blocking,
                tables -> settings.limits().bodyBytes(),
                Headers.DEFAULT_DIALECT,
                ServingPolicy.DEFAULT,
                disconnectMonitor,
                leaving,
                DecisionLog.none());
    }

    private void registerGauges() {
        metrics.gauge("cowsliplatch_members", "Live entry instances known, this one included", () -> views.current()
                .members()
                .size());
        metrics.gauge("cowsliplatch_slots_in_use", "Slots held or waited for here", broker::inUse);
        metrics.gauge(
                "cowsliplatch_grantor_doubts",
                "Asks for a slot that got no answer from their grantor in time, since the start",
                broker::fallbacks);
        metrics.gauge("cowsliplatch_key_records", "Records of idempotency keys", keys::size);
        metrics.gauge("cowsliplatch_ready", "1 if requests are served", () -> isReady() ? 1 : 0);
        metrics.gauge(
                "cowsliplatch_peer_sent_bytes", "Bytes of frames sent to peers since the start", transport::sentBytes);
    }

    private EntryAdmin createAdmin() {
        return new EntryAdmin(
                settings,
                log,
                reader,
                editor,
                membership,
                broker,
                keys,
                callerHandler,
                metrics,
                tracing,
                new EntryAdmin.Hooks(this::self, this::isReady, this::drain));
    }

    private Member self() {
        TableVersion version = log.current();
        return new Member(
                settings.instance(),
                incarnation,
                settings.region(),
                settings.zone(),
                Addresses.text(callerAddress),
                Addresses.text(peerAddress),
                Addresses.text(adminAddress),
                lifecycle.phase(),
                version.number(),
                version.number() == 0 ? "" : version.digest(),
                keys.own().issuer().prefix(),
                keys.adoptedDomains(),
                membership.peers().stream().map(Member::peerAddress).toList());
    }

    private void onTables(TableVersion version, long acceptedAtMs) {
        LOG.infof("table version %d is in force", version.number());
        metrics.tableVersion(version.number());
        views.updateTables(version, acceptedAtMs);
        duties.announce();
    }

    private void pollTables() {
        if (tableFollower.poll() == TableFollower.PollResult.REJECTED) {
            metrics.alarm("table-regression");
        }
    }

    private void heartbeat() {
        var unused = membership.expire();
        duties.heartbeat(listedPeers());
        if (ticker.nanos() - startNanos > MAX_JOIN_TIME.toNanos()) {
            lifecycle.listed(listedPeers());
        }
    }

    private void pollInstances() {
        instanceFollower.poll();
        if (instanceFollower.isRead() && lifecycle.isJoining()) {
            lifecycle.listed(listedPeers());
            duties.connect(listedPeers());
        }
    }

    /** Returns the peer addresses in the platform's list and in the settings. */
    private Set<String> listedPeers() {
        Set<String> addresses = new HashSet<>(instanceFollower.peerAddresses());
        settings.seeds().forEach(seed -> addresses.add(Addresses.text(seed)));
        addresses.remove(Addresses.text(peerAddress));
        return addresses;
    }

    private static void logLeaving(String endpointId, LeavingEndpoints.Source source, String from) {
        LOG.infof("endpoint %s is leaving (%s %s)", endpointId, source, from);
    }

    private void tick() {
        views.applyLeaving();
        broker.tick();
        if (lifecycle.tryJoin()) {
            duties.announce();
        }
    }

    @Override
    public void connectionFailed(String address) {
        lifecycle.settle(address);
    }

    @Override
    public void memberDescribed(Member member) {
        lifecycle.settle(member.peerAddress());
        var unused = duties.described(member);
    }

    @Override
    public boolean heartbeatReceived(String from, List<PeerMessage.GroupReport> loads) {
        return duties.alive(from, loads);
    }

    @Override
    public void messageReceived(String from, PeerMessage message) {
        duties.received(from, message);
        if (message instanceof PeerMessage.KeysHandOver handOver) {
            keys.adopt(handOver.domain(), handOver.secret(), handOver.ageNanos(), handOver.records());
            if (handOver.last()) {
                duties.announce();
                transport.send(from, new PeerMessage.KeysTaken(handOver.domain()));
            }
        } else if (message instanceof PeerMessage.KeysTaken taken) {
            plannedStop.onKeysTaken(from, taken.domain());
        }
    }

    /** Returns the table version in force. */
    public TableVersion tables() {
        return log.current();
    }

    /** Begins a planned stop. */
    public void drain() {
        if (!lifecycle.leave()) {
            return;
        }
        LOG.infof("planned stop of %s begins", settings.instance());
        plannedStop.begin();
        duties.announce();
        timers.execute(this::continueStop);
    }

    private void continueStop() {
        if (!plannedStop.advance()) {
            var unused = timers.schedule(this::continueStop, PlannedStop.STEP_MS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.infof("planned stop of %s is complete", settings.instance());
        new Thread(this::close, "stop").start();
    }

    /** Completes when everything is closed. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    /**
     * Returns whether requests are served: the newest table version known is in force, the other entry instances are known,
     * and no planned stop has begun.
     */
    public boolean isReady() {
        long localVersion = log.current().number();
        boolean upToDate = membership.peers().stream().allMatch(peer -> peer.tableVersion() <= localVersion);
        return localVersion > 0 && upToDate && lifecycle.isActive();
    }

    /** Returns the number of bytes of all frames sent to peers since the start. */
    public long peerBytesSent() {
        return transport.sentBytes();
    }

    /** Returns the address for callers, with the port that was bound. */
    public InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /** Returns the address for peers, with the port that was bound. */
    public InetSocketAddress peerAddress() {
        return peerAddress;
    }

    /** Returns the address for operators, with the port that was bound. */
    public InetSocketAddress adminAddress() {
        return adminAddress;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        timers.shutdownNow();
        blocking.shutdownNow();
        PeerDuties.close(listeners, transport, client);
        tracing.close();
        stopped.complete(null);
    }
}
