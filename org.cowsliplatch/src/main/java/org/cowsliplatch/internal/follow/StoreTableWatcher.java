package org.cowsliplatch.internal.follow;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.HistoryLostException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.RowStore;

/**
 * Watches one table of the platform's store, by reading it or by the changes that peers relay.
 *
 * <p>Each call of {@link #step} handles one read. Confined to one thread, which may block in the read.
 */
public final class StoreTableWatcher {
    /** Receives the rows of the table. */
    public interface Listener {
        /** Called when a row was read: it is new, has changed, or is unchanged in a full read. */
        void put(RowStore.Row row);

        /**
         * Called when a row that was known is missing because the store was restored from an older copy. The row is
         * written again if it is still meant to be there.
         */
        default void lost(String key) {
            removed(key, true);
        }

        /**
         * Called when a row was removed.
         *
         * @param storeReturned whether the store has recently returned from an outage, so that the row may reappear
         */
        void removed(String key, boolean storeReturned);

        /** Called after all rows of one read. */
        void batchCompleted();
    }

    /** Source of answers to this entry instance's own reads. */
    private static final String DIRECTLY = "the store";

    /** Time in ms over which changes are batched into one read, because calls to the store are expensive. */
    private static final long BATCH_MS = 150;
    /** Longest wait in ms for relayed changes before checking again whether to read the store directly. */
    private static final long RELAY_WAIT_MS = 250;
    /** Initial back-off in ms after a failed read. */
    private static final long INITIAL_BACKOFF_MS = 100;
    /** Maximum mean back-off in ms after failed reads, so that the store's return is noticed within about a second. */
    private static final long MAX_BACKOFF_MS = 800;
    /** Time in ns after which no answer to an earlier call can still arrive. */
    private static final long MAX_ANSWER_DELAY_NANOS = 6_000_000_000L;
    /** Time in ns after the store's return from an outage during which missing rows may reappear. */
    private static final long ROW_RESTORE_GRACE_NANOS = 2_000_000_000L;

    private final RowStore store;
    private final String table;
    private final ReadTimes times;
    private final AnswerTimeout answerTimeout;
    private final Ticker ticker;
    private final Listener listener;
    private final DecisionLog decisions;
    private final ChangeRelay relay;
    private final PollDelay delay;
    private final Set<String> knownKeys = new HashSet<>();
    private volatile StorePosition position = StorePosition.NONE;
    private volatile String source = DIRECTLY;
    private volatile long heardNanos;
    private boolean needsFullRead = true;
    /** Time in ns of the first of the latest answers that were all older than the known position, or unset. */
    private OptionalLong outdatedSinceNanos = OptionalLong.empty();
    /** Whether peers relay the changes, so that the store is not read directly. */
    private boolean relayed;

    private boolean storeUnavailable;
    /** Time in ns at which the first read was sent that got no answer. */
    private long unavailableSinceNanos;

    private long storeRegainedNanos = Long.MIN_VALUE;

    /**
     * Creates a watcher.
     *
     * @param store store that has the table
     * @param table name of the table
     * @param times how long reads may take
     * @param ticker clock
     * @param random source of jitter
     * @param listener receives the rows
     * @param decisions log in which loss and return of the store are recorded
     * @param relay delivers changes that other entry instances read, and forwards those read here
     */
    public StoreTableWatcher(
            RowStore store,
            String table,
            ReadTimes times,
            Ticker ticker,
            RandomGenerator random,
            Listener listener,
            DecisionLog decisions,
            ChangeRelay relay) {
        this.store = store;
        this.table = table;
        this.times = times;
        this.answerTimeout = new AnswerTimeout(times.answerTimeout());
        this.ticker = ticker;
        this.listener = listener;
        this.decisions = decisions;
        this.relay = relay;
        this.heardNanos = ticker.nanos();
        this.delay = new PollDelay(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random);
    }

    /**
     * Reads the store once, or applies changes relayed by another entry instance.
     *
     * @return time in ms to wait before the next step
     * @throws InterruptedException if the thread is interrupted while waiting for relayed changes
     */
    public long step() throws InterruptedException {
        boolean nowRelayed = !needsFullRead && relay.isRelayed(table);
        if (nowRelayed != relayed) {
            relayed = nowRelayed;
            decisions
                    .line("store-followed")
                    .with("table", table)
                    .with("through", relayed ? "peers" : "store")
                    .with("version", position.version())
                    .write(DecisionLog.Weight.NOTABLE);
        }
        if (nowRelayed) {
            Optional<ChangeRelay.Relayed> changes = relay.poll(table, RELAY_WAIT_MS);
            if (changes.isEmpty() || applyRelayed(changes.get())) {
                return 0;
            }
        }
        return read();
    }

    private long read() {
        long startNanos = ticker.nanos();
        try {
            boolean changed = needsFullRead ? readAll() : readChanges(startNanos);
            delay.recordSuccess();
            return changed ? BATCH_MS : 0;
        } catch (HistoryLostException e) {
            needsFullRead = true;
            decisions
                    .line("store-history-lost")
                    .with("table", table)
                    .with("after", position.version())
                    .write(DecisionLog.Weight.NOTABLE);
            return 0;
        } catch (PlatformUnavailableException e) {
            boolean isFirst = !storeUnavailable;
            storeLost(e, startNanos);
            // The connection may be all that has failed.
            return isFirst ? 0 : delay.nextMs();
        }
    }

    /** Applies changes that a peer read; returns false without applying them if earlier changes were missed. */
    private boolean applyRelayed(ChangeRelay.Relayed relayedChanges) {
        PeerMessage.StoreChanges changes = relayedChanges.changes();
        StorePosition known = position;
        if (known.isRestoredIn(changes.era())) {
            needsFullRead = true;
            return false;
        }
        if (known.resolve(changes.era()) < known.era()) {
            return true;
        }
        if (changes.after() > known.version()) {
            return false;
        }
        storeAnswered("the store through " + relayedChanges.reader());
        List<RowStore.Row> newRows = changes.rows().stream()
                .filter(row -> row.version() > known.version())
                .toList();
        if (changes.version() > known.version()) {
            apply(new RowStore.Rows(newRows, changes.version(), changes.era()), changes.storeReturned());
        }
        return true;
    }

    /** Reads and applies the changes since the last read; returns whether there were any. */
    private boolean readChanges(long startNanos) throws HistoryLostException, PlatformUnavailableException {
        StorePosition known = position;
        RowStore.Rows changes = follow(known.version(), startNanos);
        storeAnswered(DIRECTLY);
        if (known.isRestoredIn(changes.era()) || known.resolve(changes.era()) < known.era()) {
            // The versions are of another life of the store, so changes may be missing between the known one and these.
            needsFullRead = true;
            return false;
        }
        apply(changes, isInRestoreGrace());
        if (!changes.rows().isEmpty() || !isLate(startNanos)) {
            relay.forward(new PeerMessage.StoreChanges(
                    table, known.version(), changes.rows(), position.version(), isInRestoreGrace(), position.era()));
        }
        return !changes.rows().isEmpty();
    }

    private RowStore.Rows follow(long after, long startNanos)
            throws HistoryLostException, PlatformUnavailableException {
        Duration wait = readWait();
        Duration timeout = answerTimeout.current();
        try {
            RowStore.Rows changes = store.follow(table, after, wait, timeout);
            Duration late = since(startNanos).minus(wait);
            // An answer before the end of the wait tells of a change, and not how long the store took.
            if (!late.isNegative()) {
                answerTimeout.answeredAfter(late);
            }
            return changes;
        } catch (PlatformUnavailableException e) {
            if (since(startNanos).compareTo(wait.plus(timeout)) >= 0) {
                answerTimeout.expired();
            }
            throw e;
        }
    }

    private Duration since(long startNanos) {
        return Duration.ofNanos(ticker.nanos() - startNanos);
    }

    /** Returns whether a read took so long that its answer, or this process, was held up: it tells nothing of the present. */
    private boolean isLate(long startNanos) {
        return since(startNanos).compareTo(times.pollWait().plus(times.answerTimeout())) > 0;
    }

    /** Returns how long to wait for a change; not at all to find out whether the store has returned. */
    private Duration readWait() {
        return storeUnavailable || relay.isRelayed(table) ? Duration.ZERO : times.pollWait();
    }

    /** Reads the whole table; returns false, as the next read need not be delayed to batch changes. */
    private boolean readAll() throws PlatformUnavailableException {
        RowStore.Rows rows = store.read(table);
        StorePosition before = position;
        StorePosition after = before.of(rows.era(), rows.version());
        boolean restored = before.isRestoredIn(rows.era()) || after.isBefore(before);
        if (after.isBefore(before) && !isOutdatedForLong()) {
            throw new PlatformUnavailableException(
                    "the store", "read " + after + " of table " + table + ", which is older than " + before, null);
        }
        storeAnswered(DIRECTLY);
        outdatedSinceNanos = OptionalLong.empty();
        if (restored) {
            storeRestored(before, after);
        }
        Set<String> missing = new HashSet<>(knownKeys);
        for (RowStore.Row row : rows.rows()) {
            missing.remove(row.key());
            knownKeys.add(row.key());
            listener.put(row);
        }
        for (String key : missing) {
            knownKeys.remove(key);
            if (restored) {
                listener.lost(key);
            } else {
                listener.removed(key, isInRestoreGrace());
            }
        }
        position = after;
        needsFullRead = false;
        listener.batchCompleted();
        return false;
    }

    private void apply(RowStore.Rows changes, boolean storeReturned) {
        for (RowStore.Row row : changes.rows()) {
            if (row.value().isPresent()) {
                knownKeys.add(row.key());
                listener.put(row);
            } else {
                knownKeys.remove(row.key());
                listener.removed(row.key(), storeReturned);
            }
        }
        StorePosition after = position.of(changes.era(), changes.version());
        position = position.isBefore(after) ? after : position;
        listener.batchCompleted();
    }

    /** Returns the highest era of the store that an answer has named, or {@link RowStore#UNKNOWN_ERA}. */
    public long era() {
        return position.era();
    }

    /**
     * Returns whether answers have been older than the known position for so long that they can't be late ones: the store
     * was then restored without saying so.
     */
    private boolean isOutdatedForLong() {
        long now = ticker.nanos();
        if (outdatedSinceNanos.isEmpty()) {
            outdatedSinceNanos = OptionalLong.of(now);
        }
        return now - outdatedSinceNanos.getAsLong() > MAX_ANSWER_DELAY_NANOS;
    }

    private void storeRestored(StorePosition before, StorePosition after) {
        storeRegainedNanos = ticker.nanos();
        decisions
                .line("store-restored")
                .with("table", table)
                .with("eraBefore", before.era())
                .with("era", after.era())
                .with("versionBefore", before.version())
                .with("version", after.version())
                .write(DecisionLog.Weight.NOTABLE);
    }

    private boolean isInRestoreGrace() {
        return storeRegainedNanos != Long.MIN_VALUE && ticker.nanos() - storeRegainedNanos < ROW_RESTORE_GRACE_NANOS;
    }

    /** Returns who delivered the latest answer of the store, for logs. */
    public String source() {
        return source;
    }

    /** Returns the time in ns of the latest answer of the store, also one that a peer relayed. */
    public long heardNanos() {
        return heardNanos;
    }

    private void storeAnswered(String from) {
        long now = ticker.nanos();
        source = from;
        heardNanos = now;
        if (!storeUnavailable) {
            return;
        }
        storeUnavailable = false;
        long silentNanos = now - unavailableSinceNanos;
        if (silentNanos > times.minOutage().toNanos()) {
            storeRegainedNanos = now;
        }
        decisions
                .line("store-regained")
                .with("table", table)
                .with("silentMs", TimeUnit.NANOSECONDS.toMillis(silentNanos))
                .with("era", position.era())
                .with("version", position.version())
                .write(DecisionLog.Weight.NOTABLE);
    }

    private void storeLost(PlatformUnavailableException e, long readSentNanos) {
        delay.recordFailure();
        if (storeUnavailable) {
            return;
        }
        storeUnavailable = true;
        unavailableSinceNanos = readSentNanos;
        decisions
                .line("store-lost")
                .with("table", table)
                .with("era", position.era())
                .with("version", position.version())
                .with("heardMs", TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - heardNanos))
                .with("reason", e.text())
                .write(DecisionLog.Weight.NOTABLE);
    }
}
