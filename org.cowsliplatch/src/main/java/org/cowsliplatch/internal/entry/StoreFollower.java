package org.cowsliplatch.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.follow.ChangeRelay;
import org.cowsliplatch.internal.follow.ReadTimes;
import org.cowsliplatch.internal.follow.RestoredRows;
import org.cowsliplatch.internal.follow.StoreTableWatcher;
import org.cowsliplatch.internal.steer.EndpointPublisher;
import org.cowsliplatch.internal.steer.EndpointRegistry;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TablesFormat;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.OperatorRow;
import org.cowsliplatch.platform.PlatformFormat;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.settings.DeploymentSettings;
import org.cowsliplatch.table.TableVersion;
import org.jspecify.annotations.Nullable;

/** Follows the store to keep the configuration, evacuations, endpoints and list of entry instances up to date. */
final class StoreFollower implements AutoCloseable {
    /** Table of the entry instances' peer addresses, by name of the instance. */
    private static final String ENTRY_TABLE = "entries";
    /** Interval between reads of the list of entry instances while peers are known, which exchange all else directly. */
    private static final long LIST_INTERVAL_MS = 15_000;
    /** The same while no peer is known, and after a read that failed. */
    private static final long DISCOVERY_INTERVAL_MS = 400;
    /** Longest request body until a configuration sets another limit. */
    private static final long DEFAULT_MAX_BODY_BYTES = 64L * 1024 * 1024;
    /** Number of unknown kinds of request that are logged. */
    private static final int MAX_REPORTED_KINDS = 20;
    /** Maximum length of an unknown kind of request in the log, in characters. */
    private static final int MAX_LOGGED_CHARACTERS = 40;

    /**
     * What is kept of a configuration beside its tables.
     *
     * @param text text that operators wrote
     * @param bodyBytes maximum length of a request body in bytes
     */
    private record Document(String text, long bodyBytes) {
        static final Document NONE = new Document("", DEFAULT_MAX_BODY_BYTES);
    }

    private final DeploymentSettings settings;
    private final RowStore store;
    private final PlatformFormat format;
    private final TableLog log;
    private final SteeringViewHolder views;
    private final DecisionLog decisions;
    private final String ownAddress;
    private final EndpointRegistry endpointRegistry;
    private final EndpointPublisher publisher;
    private final Set<String> reportedRows = new HashSet<>();
    private final Set<String> reportedKinds = ConcurrentHashMap.newKeySet();
    /** Configurations by number; as with the tables, the first one that has a number stays. */
    private final Map<Long, Document> documents = new ConcurrentHashMap<>();

    private final List<Thread> threads = new ArrayList<>();
    private final Ticker ticker;
    private final OperatorRows operatorRows;
    private final StoreTableWatcher operatorWatcher;
    private final StoreTableWatcher endpointWatcher;
    private final Consumer<Map<String, String>> onPeersListed;
    private volatile List<String> peerAddresses = List.of();
    private volatile boolean entriesRead;
    private volatile boolean endpointsRead;
    private volatile boolean operatorsRead;
    private volatile boolean closed;
    /** Whether this entry instance has added itself to the list; used by one thread. */
    private boolean listed;
    /** Era of the store and time in ns of the last read of the list; used by one thread. */
    private long listEra = RowStore.UNKNOWN_ERA;

    private long listReadNanos;

    /**
     * Creates a follower that is not started.
     *
     * @param times how long reads may take
     * @param onPeersListed receives the peer addresses of the other entry instances by name, each time they were read
     */
    StoreFollower(
            DeploymentSettings settings,
            RowStore store,
            PlatformFormat format,
            Ticker ticker,
            SplittableRandom random,
            TableLog log,
            SteeringViewHolder views,
            DecisionLog decisions,
            ReadTimes times,
            ChangeRelay relay,
            String ownAddress,
            Consumer<Map<String, String>> onPeersListed) {
        this.settings = settings;
        this.store = store;
        this.format = format;
        this.log = log;
        this.views = views;
        this.decisions = decisions;
        this.ownAddress = ownAddress;
        this.onPeersListed = onPeersListed;
        this.endpointRegistry = new EndpointRegistry(settings.regionOfZone(), ticker, decisions);
        this.publisher = new EndpointPublisher(endpointRegistry, views);
        this.ticker = ticker;
        this.operatorRows = new OperatorRows();
        this.operatorWatcher = new StoreTableWatcher(
                store, format.operatorTable(), times, ticker, random.split(), operatorRows, decisions, relay);
        this.endpointWatcher = new StoreTableWatcher(
                store, format.endpointTable(), times, ticker, random.split(), new EndpointRows(), decisions, relay);
    }

    void start() {
        startThread("operators", operatorWatcher::step);
        startThread("endpoints", endpointWatcher::step);
        startThread("entries", this::pollEntries);
    }

    /** Returns the peer addresses of the other entry instances in the list. */
    List<String> peerAddresses() {
        return peerAddresses;
    }

    /** Returns whether both the endpoints and the operators' rows have been read. */
    boolean isLoaded() {
        return endpointsRead && operatorsRead;
    }

    /** Removes endpoints and evacuations whose rows did not reappear after the store returned. */
    void expire() {
        operatorRows.settle();
        if (endpointRegistry.expire()) {
            publisher.publish();
        }
    }

    /** Returns the highest era of the store that an answer has named, 0 before the first. */
    long storeEra() {
        return Math.max(operatorWatcher.era(), endpointWatcher.era());
    }

    /** Returns the time in ns since the store was last heard about each of the tables, also through a peer. */
    long silentNanos() {
        return ticker.nanos() - Math.min(operatorWatcher.heardNanos(), endpointWatcher.heardNanos());
    }

    /** Returns the maximum length of a request body in bytes by the number of the configuration. */
    long bodyBytes(long number) {
        return documents.getOrDefault(number, Document.NONE).bodyBytes();
    }

    /** Returns the format of configurations exchanged with peers, which is the text that operators wrote. */
    TablesFormat documents() {
        return new TablesFormat() {
            @Override
            public String text(TableVersion version) {
                return documents.getOrDefault(version.number(), Document.NONE).text();
            }

            @Override
            public TableVersion read(long number, String text) throws TableException {
                OperatorRow row = format.configuration(text.getBytes(StandardCharsets.UTF_8));
                if (!(row instanceof OperatorRow.Configuration configuration)
                        || configuration.tables().number() != number) {
                    throw new TablesUnavailableException(
                            "configuration " + number + " from a peer is unreadable or has another version", null);
                }
                reportUnknownKinds(configuration);
                documents.putIfAbsent(number, new Document(text, configuration.bodyBytes()));
                return configuration.tables();
            }
        };
    }

    /** Logs each kind of request that is not known once, up to {@link #MAX_REPORTED_KINDS}. */
    private void reportUnknownKinds(OperatorRow.Configuration configuration) {
        for (String kind : configuration.unknownKinds()) {
            if (reportedKinds.size() < MAX_REPORTED_KINDS && reportedKinds.add(kind)) {
                decisions
                        .line("request-kind-unknown")
                        .with("kind", kind.substring(0, Math.min(kind.length(), MAX_LOGGED_CHARACTERS)))
                        .with("version", configuration.tables().number())
                        .with("treatedAs", "non-idempotent")
                        .write(DecisionLog.Weight.NOTABLE);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
    }

    private interface Step {
        /** Runs one round; returns the time in ms to wait before the next. */
        long run() throws InterruptedException;
    }

    private void startThread(String name, Step step) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (!closed) {
                            Thread.sleep(step.run());
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "store-" + name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private long pollEntries() {
        if (!isListReadDue()) {
            return DISCOVERY_INTERVAL_MS;
        }
        try {
            long era = storeEra();
            if (!listed) {
                store.put(ENTRY_TABLE, settings.instance(), ownAddress.getBytes(StandardCharsets.UTF_8));
                listed = true;
            }
            Map<String, String> others = new HashMap<>();
            // A restored store may have lost the own row, or have that of an earlier start.
            listed = false;
            for (RowStore.Row row : store.read(ENTRY_TABLE).rows()) {
                String address = new String(row.value().orElse(new byte[0]), StandardCharsets.UTF_8);
                if (row.key().equals(settings.instance())) {
                    listed = address.equals(ownAddress);
                } else {
                    others.put(row.key(), address);
                }
            }
            peerAddresses = List.copyOf(others.values());
            entriesRead = true;
            onPeersListed.accept(others);
            listEra = era;
            listReadNanos = ticker.nanos();
            return DISCOVERY_INTERVAL_MS;
        } catch (PlatformUnavailableException | WriteOutcomeUnknownException e) {
            return DISCOVERY_INTERVAL_MS;
        }
    }

    /** Returns whether to read the list: often while no peer is known, and at once after the store was restored. */
    private boolean isListReadDue() {
        if (listEra == RowStore.UNKNOWN_ERA) {
            listEra = storeEra();
        }
        boolean alone = views.current().members().size() <= 1;
        long ageNanos = ticker.nanos() - listReadNanos;
        return !entriesRead
                || !listed
                || alone
                || storeEra() != listEra
                || ageNanos > TimeUnit.MILLISECONDS.toNanos(LIST_INTERVAL_MS);
    }

    private final class OperatorRows implements StoreTableWatcher.Listener {
        private final Map<String, String> zoneOfKey = new ConcurrentHashMap<>();
        private final RestoredRows restoredRows = new RestoredRows(ticker);

        @Override
        public void put(RowStore.Row row) {
            OperatorRow operatorRow = format.operatorRow(row.key(), row.value().orElse(new byte[0]));
            if (operatorRow instanceof OperatorRow.Configuration configuration) {
                adopt(configuration, row);
            } else if (operatorRow instanceof OperatorRow.Evacuation evacuation) {
                zoneOfKey.put(row.key(), evacuation.zone());
                if (restoredRows.put(row.key(), row.version())) {
                    evacuate(evacuation.zone(), row.version());
                }
            } else if (operatorRow instanceof OperatorRow.Unreadable invalid
                    && reportedRows.add(row.key() + row.version())) {
                decisions
                        .line("operator-row-unreadable")
                        .with("key", row.key())
                        .with("storeVersion", row.version())
                        .with("reason", invalid.reason())
                        .write(DecisionLog.Weight.NOTABLE);
            }
        }

        @Override
        public void removed(String key, boolean storeReturned) {
            restoredRows.remove(key);
            endEvacuation(key);
        }

        @Override
        public void lost(String key) {
            restoredRows.lose(key);
        }

        /** Follows the store where it still disagrees with what it had confirmed before it was restored. */
        void settle() {
            for (RestoredRows.Settled settled : restoredRows.settle()) {
                decisions
                        .line("operator-row-not-rewritten")
                        .with("key", settled.key())
                        .with("store", settled.disagreement().name())
                        .write(DecisionLog.Weight.NOTABLE);
                String zone = zoneOfKey.get(settled.key());
                if (settled.disagreement() == RestoredRows.Disagreement.LOST) {
                    endEvacuation(settled.key());
                } else if (zone != null) {
                    evacuate(zone, 0);
                }
            }
        }

        private void endEvacuation(String key) {
            @Nullable String zone = zoneOfKey.remove(key);
            if (zone == null) {
                return;
            }
            decisions.line("evacuation-ended").with("zone", zone).write(DecisionLog.Weight.NOTABLE);
            publisher.endEvacuation(zone);
        }

        @Override
        public void batchCompleted() {
            operatorsRead = true;
        }

        private void evacuate(String zone, long version) {
            if (publisher.evacuate(zone)) {
                decisions
                        .line("evacuation")
                        .with("zone", zone)
                        .with("storeVersion", version)
                        .write(DecisionLog.Weight.NOTABLE);
            }
        }

        private void adopt(OperatorRow.Configuration configuration, RowStore.Row row) {
            reportUnknownKinds(configuration);
            long number = configuration.tables().number();
            String text = new String(row.value().orElse(new byte[0]), StandardCharsets.UTF_8);
            documents.putIfAbsent(number, new Document(text, configuration.bodyBytes()));
            try {
                log.adopt(operatorWatcher.source(), configuration.tables());
                documents.keySet().removeIf(known -> known < log.current().number());
            } catch (TableRegressionException e) {
                decisions
                        .line("configuration-refused")
                        .with("version", number)
                        .with("reason", e.text())
                        .write(DecisionLog.Weight.NOTABLE);
            }
        }
    }

    private final class EndpointRows implements StoreTableWatcher.Listener {
        private boolean changed;

        @Override
        public void put(RowStore.Row row) {
            changed |= endpointRegistry.update(
                    row.key(), format.endpointRow(row.value().orElse(new byte[0])));
        }

        @Override
        public void removed(String key, boolean storeReturned) {
            changed |= endpointRegistry.remove(key, storeReturned);
        }

        @Override
        public void batchCompleted() {
            if (changed) {
                changed = false;
                publisher.publish();
            }
            endpointsRead = true;
        }
    }
}
