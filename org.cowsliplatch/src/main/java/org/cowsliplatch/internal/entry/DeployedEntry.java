package org.cowsliplatch.internal.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.follow.ChangeRelay;
import org.cowsliplatch.internal.follow.ReadTimes;
import org.cowsliplatch.internal.limit.CallerRetryEstimator;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberLifecycle;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.peer.PeerListener;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerTransport;
import org.cowsliplatch.internal.proxy.BackendClient;
import org.cowsliplatch.internal.proxy.CallerDisconnectMonitor;
import org.cowsliplatch.internal.proxy.EntryContext;
import org.cowsliplatch.internal.proxy.ServingPolicy;
import org.cowsliplatch.internal.proxy.SteeringHandler;
import org.cowsliplatch.internal.proxy.TablesOrigin;
import org.cowsliplatch.internal.steer.EntryAddressSelector;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.steer.RegionChooser;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TableSync;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.PlatformFormat;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.settings.DeploymentSettings;
import org.cowsliplatch.table.TableVersion;

/** An entry instance on a platform with a row store: connects its components and runs their periodic tasks. */
public final class DeployedEntry implements PeerListener, AutoCloseable {
    /** Interval between ticks of the slot broker while slots are held or waited for here. */
    private static final long SLOT_TICK_MS = 20;

    private static final long IDLE_SLOT_TICK_MS = 50;
    private static final long HEARTBEAT_MS = 700;
    /** Time within which a closed caller connection is detected, so that its request is cancelled well within 0.5 s. */
    private static final long CALLER_CHECK_MS = 150;
    /** Longest request body held in memory; it lets most uploads be retried. */
    private static final int MAX_HELD_BODY_BYTES = 512 * 1024;

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    /** Time that connection set-up, request and response spend on the way between caller and entry instance. */
    private static final Duration CALLER_DELAY = Duration.ofMillis(40);

    private static final double NANOS_PER_SECOND = 1e9;

    private final DeploymentSettings settings;
    private final PlatformFormat format;
    private final Ticker ticker = Ticker.system();
    private final String incarnation = HexFormat.of().toHexDigits(new SecureRandom().nextLong());
    private final long startNanos = ticker.nanos();
    private final Metrics metrics = new Metrics();
    private final Tracing tracing;
    private final DecisionLog decisions;
    private final Membership membership;
    private final PeerTransport transport;
    private final LeavingEndpoints leaving;
    private final SlotBroker broker;
    private final SteeringViewHolder views;
    private final TableLog log;
    private final TableSync tableSync;
    private final Headroom headroom;
    private final PeerDuties duties;
    private final ChangeRelay relay;
    private final StoreFollower store;
    private final CallerDisconnectMonitor disconnectMonitor = new CallerDisconnectMonitor();
    private final BackendClient client = new BackendClient();
    private final SteeringHandler steering;
    private final EntryAddressSelector addressSelector;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<HttpListener> listeners = new ArrayList<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final MemberLifecycle lifecycle;
    private volatile boolean wasReady;
    private volatile int maxMembers;
    private volatile long tablesSinceNanos = startNanos;

    private DeployedEntry(
            DeploymentSettings settings, RowStore rows, PlatformFormat format, Consumer<String> logLines) {
        this.settings = settings;
        this.format = format;
        this.decisions = new DecisionLog(settings.instance(), InstantSource.system(), ticker, logLines);
        this.tracing = new Tracing(settings.instance(), Optional.empty());
        SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
        this.membership = new Membership(settings.instance(), ticker);
        this.lifecycle = new MemberLifecycle(ticker);
        this.transport = new PeerTransport(this::self, ticker, this);
        this.leaving = new LeavingEndpoints(ticker, new EndpointLeavingLog(decisions));
        this.broker = new SlotBroker(
                settings.instance(),
                settings.zone(),
                ticker,
                random.split(),
                transport,
                new EndpointLimitLog(decisions),
                leaving);
        ReadTimes readTimes = ReadTimes.within(settings.bounds().strictest());
        this.relay = new ChangeRelay(settings.instance(), settings.region(), ticker, readTimes, transport);
        this.views = new SteeringViewHolder(this::onView, leaving);
        this.log = new TableLog(this::onTables);
        this.store = new StoreFollower(
                settings,
                rows,
                format,
                ticker,
                random.split(),
                log,
                views,
                decisions,
                readTimes,
                relay,
                Addresses.text(settings.listen().peer()),
                this::onPeersListed);
        this.tableSync =
                new TableSync(ticker, log, transport, store.documents(), () -> metrics.alarm("table-regression"));
        this.headroom = new Headroom(ticker, Headroom.AGGRESSIVE_REQUESTS_PER_FREE_SLOT);
        this.duties = new PeerDuties(this::self, membership, transport, views, broker, headroom, tableSync);
        this.steering = new SteeringHandler(createContext());
        this.addressSelector = new EntryAddressSelector(random.split());
        metrics.gauge("cowsliplatch_members", "Live entry instances known, this one included", () -> views.current()
                .members()
                .size());
        metrics.gauge("cowsliplatch_slots_in_use", "Slots held or waited for here", broker::inUse);
        metrics.gauge(
                "cowsliplatch_grantor_doubts",
                "Asks for a slot that got no answer from their grantor in time, since the start",
                broker::fallbacks);
        metrics.gauge(
                "cowsliplatch_limited_endpoints",
                "Endpoints that have named a rate limit, as far as known here",
                broker::limitedEndpoints);
        metrics.gauge(
                "cowsliplatch_leaving_endpoints",
                "Endpoints known to be leaving, also some that are no longer listed",
                leaving::size);
        metrics.gauge(
                "cowsliplatch_store_era",
                "Life of the store, which rises when it returns from a copy",
                store::storeEra);
        metrics.gauge(
                "cowsliplatch_configuration_age_seconds",
                "Time since the configuration in force came into force here",
                () -> (ticker.nanos() - tablesSinceNanos) / NANOS_PER_SECOND);
        metrics.gauge(
                "cowsliplatch_store_heard_seconds",
                "Time since the store was last heard, also through a peer",
                () -> store.silentNanos() / NANOS_PER_SECOND);
        metrics.gauge("cowsliplatch_ready", "1 if requests are served", () -> isReady() ? 1 : 0);
        metrics.gauge(
                "cowsliplatch_peer_sent_bytes", "Bytes of frames sent to peers since the start", transport::sentBytes);
    }

    /**
     * Starts an entry instance.
     *
     * @param settings checked settings
     * @param rows platform's store
     * @param format names and formats of the platform
     * @param logLines receives the lines of the decision log; must not block
     * @throws EntryStartException if a listener can't be bound
     */
    public static DeployedEntry start(
            DeploymentSettings settings, RowStore rows, PlatformFormat format, Consumer<String> logLines)
            throws EntryStartException {
        DeployedEntry entry = new DeployedEntry(settings, rows, format, logLines);
        try {
            entry.open();
        } catch (EntryStartException e) {
            entry.close();
            throw e;
        }
        return entry;
    }

    private void open() throws EntryStartException {
        DeploymentSettings.Listen listen = settings.listen();
        client.start();
        transport.start(listen.peer());
        listeners.add(HttpListener.plain("caller", listen.caller(), MAX_HEADER_BYTES, steering));
        Set<InetSocketAddress> own = new HashSet<>(List.of(listen.caller()));
        for (InetSocketAddress address : List.of(listen.ready(), listen.directory())) {
            if (own.add(address)) {
                listeners.add(HttpListener.plain("platform", address, MAX_HEADER_BYTES, createPlatformHandler()));
            }
        }
        listeners.add(HttpListener.plain("metrics", listen.metrics(), MAX_HEADER_BYTES, new MetricsHandler(metrics)));
        views.updateMembers(membership.peers(), self());
        Repeater.repeat(timers, this::tick, () -> broker.inUse() > 0 ? SLOT_TICK_MS : IDLE_SLOT_TICK_MS);
        Repeater.repeat(timers, this::heartbeat, () -> HEARTBEAT_MS);
        Repeater.repeat(timers, disconnectMonitor::checkConnections, () -> CALLER_CHECK_MS);
        store.start();
        decisions
                .line("start")
                .with("incarnation", incarnation)
                .with("zone", settings.zone())
                .with("caller", Addresses.text(listen.caller()))
                .with("peer", Addresses.text(listen.peer()))
                .with("store", Addresses.text(settings.store()))
                .with("strictestBoundMs", settings.bounds().strictest().toMillis())
                .write(DecisionLog.Weight.NOTABLE);
    }

    private PlatformHandler createPlatformHandler() {
        return new PlatformHandler(
                format, this::isReady, addressSelector, views::current, settings.lookupTtl(), metrics::lookup);
    }

    private EntryContext createContext() {
        return new EntryContext(
                settings.instance(),
                ticker,
                views::current,
                this::tablesOrigin,
                broker,
                new RegionChooser(
                        settings.region(), () -> ThreadLocalRandom.current().nextDouble()),
                new RetryBudgets(
                        settings.repeats().perRequest(), settings.repeats().slack(), this::retrySharers),
                Optional.empty(),
                client,
                headroom,
                null,
                timers,
                metrics,
                tracing,
                timers,
                store::bodyBytes,
                format.dialect(),
                new ServingPolicy(
                        MAX_HELD_BODY_BYTES,
                        CALLER_DELAY,
                        false,
                        new CallerRetryEstimator(
                                () -> ThreadLocalRandom.current().nextDouble())),
                disconnectMonitor,
                leaving,
                decisions);
    }

    private TablesOrigin tablesOrigin(long version) {
        long heardMs = TimeUnit.NANOSECONDS.toMillis(store.silentNanos());
        return version == log.current().number()
                ? new TablesOrigin(
                        log.source(), TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - tablesSinceNanos), heardMs)
                : new TablesOrigin("", 0, heardMs);
    }

    /**
     * Returns the number of entry instances that share the retry budgets: the configured number, or the most that were
     * ever known at once if that is more. An instance that can't be reached may still use its share. While the others are
     * not known, this one takes no share.
     */
    private double retrySharers() {
        if (lifecycle.isJoining()) {
            return Double.POSITIVE_INFINITY;
        }
        maxMembers = Math.max(maxMembers, views.current().members().size());
        return Math.max(settings.repeats().sharers(), maxMembers);
    }

    private Member self() {
        TableVersion version = log.current();
        return new Member(
                settings.instance(),
                incarnation,
                settings.region(),
                settings.zone(),
                Addresses.text(settings.listen().caller()),
                Addresses.text(settings.listen().peer()),
                Addresses.text(settings.listen().metrics()),
                lifecycle.phase(),
                version.number(),
                version.number() == 0 ? "" : version.digest(),
                "",
                List.of(),
                // The store lists all peers. Repeating them here would lengthen each description, and change it with
                // each instance that joins or leaves.
                List.of());
    }

    private void onTables(TableVersion version, long acceptedAtMs) {
        decisions
                .line("configuration-in-force")
                .with("version", version.number())
                .with("digest", version.digest())
                .with("source", log.source())
                .write(DecisionLog.Weight.NOTABLE);
        metrics.tableVersion(version.number());
        tablesSinceNanos = ticker.nanos();
        views.updateTables(version, acceptedAtMs);
        duties.announce();
    }

    private void tick() {
        views.applyLeaving();
        broker.tick();
        joinIfKnown();
        boolean ready = isReady();
        if (ready != wasReady) {
            wasReady = ready;
            decisions.line(ready ? "ready" : "not-ready").write(DecisionLog.Weight.NOTABLE);
        }
    }

    /** Takes over duties as soon as the other entry instances are known. */
    private void joinIfKnown() {
        if (!lifecycle.tryJoin()) {
            return;
        }
        decisions
                .line("joined")
                .with("peers", membership.peers().size())
                .with("listed", store.peerAddresses().size())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - startNanos))
                .write(DecisionLog.Weight.NOTABLE);
        duties.announce();
    }

    private void onPeersListed(Map<String, String> addressByName) {
        if (!lifecycle.isJoining()) {
            return;
        }
        broker.expectMembers(addressByName.keySet());
        lifecycle.listed(addressByName.values());
        duties.connect(addressByName.values());
    }

    private void heartbeat() {
        for (Member expired : membership.expire()) {
            decisions
                    .line("peer-gone")
                    .with("peer", expired.name())
                    .with("incarnation", expired.incarnation())
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(Membership.DEAD_AFTER_NANOS))
                    .write(DecisionLog.Weight.NOTABLE);
        }
        store.expire();
        duties.heartbeat(store.peerAddresses());
    }

    @Override
    public void connectionFailed(String address) {
        lifecycle.settle(address);
    }

    @Override
    public void memberDescribed(Member member) {
        lifecycle.settle(member.peerAddress());
        if (duties.described(member)) {
            decisions
                    .line("peer-described")
                    .with("peer", member.name())
                    .with("incarnation", member.incarnation())
                    .with("leaving", member.leaving())
                    .with("phase", member.phase().name())
                    .with("version", member.tableVersion())
                    .write(DecisionLog.Weight.NOTABLE);
        }
    }

    private void onView(SteeringView view) {
        relay.updateMembers(view.members());
        broker.updateView(view);
    }

    @Override
    public boolean heartbeatReceived(String from, List<PeerMessage.GroupReport> loads) {
        relay.markAlive(from);
        return duties.alive(from, loads);
    }

    @Override
    public void messageReceived(String from, PeerMessage message) {
        if (message instanceof PeerMessage.StoreChanges changes) {
            relay.receive(from, changes);
            return;
        }
        duties.received(from, message);
    }

    /**
     * Returns whether requests are served: the endpoints and the newest table version known are loaded, the other entry
     * instances are known, and no planned stop has begun.
     */
    public boolean isReady() {
        // The view's version: the log is updated first, and until the view follows, requests would find no tables.
        long localVersion = views.current().tables().number();
        boolean upToDate = membership.peers().stream().allMatch(peer -> peer.tableVersion() <= localVersion);
        return localVersion > 0 && upToDate && store.isLoaded() && lifecycle.isActive();
    }

    /** Begins a planned stop; the result completes when everything is closed. */
    public CompletableFuture<Void> drain() {
        if (!lifecycle.leave()) {
            return stopped;
        }
        decisions
                .line("stop")
                .with("inFlight", steering.inFlight())
                .with("graceMs", settings.grace().toMillis())
                .write(DecisionLog.Weight.NOTABLE);
        new GracefulStop(settings.grace(), settings.lookupTtl(), ticker, steering, timers, this::finishStop).begin();
        duties.announce();
        return stopped;
    }

    private void finishStop() {
        decisions.line("stopped").with("inFlight", steering.inFlight()).write(DecisionLog.Weight.NOTABLE);
        new Thread(this::close, "stop").start();
    }

    /** Completes when everything is closed. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        store.close();
        timers.shutdownNow();
        PeerDuties.close(listeners, transport, client);
        tracing.close();
        stopped.complete(null);
    }
}
