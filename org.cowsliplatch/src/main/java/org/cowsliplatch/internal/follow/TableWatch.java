package org.cowsliplatch.internal.follow;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.HistoryLostException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.RowStore;

/**
 * Follows one table of the store; one call of {@link #step} is one read.
 *
 * <p>Used by one thread, which may wait in the read.
 */
public final class TableWatch {
    /** What is done with the rows. */
    public interface Listener {
        /** A row is there, or has changed. */
        void put(RowStore.Row row);

        /**
         * A row is no longer there.
         *
         * @param storeReturned whether the store was away since the last read, so that the row may come back
         */
        void removed(String key, boolean storeReturned);

        /** All rows known at one moment were told. */
        void settled();
    }

    /** Time in ms over which changes are gathered into one read; calls of the store are dear. */
    private static final long GATHER_MS = 150;
    /** Longest wait in ms for word of a peer before it is looked anew whether this entry instance should read. */
    private static final long TOLD_MS = 250;
    /** First wait in ms after a read that failed. */
    private static final long FIRST_RETRY_MS = 100;
    /** Longest wait in ms after reads that failed, so that the store's return is noticed within a second or so. */
    private static final long LONGEST_RETRY_MS = 800;
    /** Time in ns after the store's return in which missing rows may come back. */
    private static final long RETURN_NANOS = 2_000_000_000L;

    private final RowStore store;
    private final String table;
    private final Duration wait;
    private final Ticker ticker;
    private final Listener listener;
    private final DecisionLog decisions;
    private final ChangeRelay relay;
    private final PollDelay delay;
    private final Set<String> known = new HashSet<>();
    private long version = -1;
    private boolean mustRead = true;
    /** Whether peers tell of changes, so that the store is not read here. */
    private boolean told;

    private boolean away;
    private long returnedNanos = Long.MIN_VALUE;

    /**
     * Creates a watch.
     *
     * @param store store
     * @param table name of the table
     * @param wait longest wait for a change in one read
     * @param ticker clock
     * @param random source of jitter
     * @param listener told of rows
     * @param decisions told when the store is lost and regained
     * @param relay tells of changes that other entry instances read, and passes on those read here
     */
    public TableWatch(
            RowStore store,
            String table,
            Duration wait,
            Ticker ticker,
            RandomGenerator random,
            Listener listener,
            DecisionLog decisions,
            ChangeRelay relay) {
        this.store = store;
        this.table = table;
        this.wait = wait;
        this.ticker = ticker;
        this.listener = listener;
        this.decisions = decisions;
        this.relay = relay;
        this.delay = new PollDelay(FIRST_RETRY_MS, LONGEST_RETRY_MS, random);
    }

    /**
     * Reads once, or takes what another entry instance read; returns the time in ms to wait before the next step.
     *
     * @throws InterruptedException if the thread is to end
     */
    public long step() throws InterruptedException {
        boolean nowTold = !mustRead && relay.isTold(table);
        if (nowTold != told) {
            told = nowTold;
            decisions
                    .line("store-followed")
                    .with("table", table)
                    .with("through", told ? "peers" : "store")
                    .with("version", version)
                    .write(DecisionLog.Weight.NOTABLE);
        }
        if (nowTold) {
            Optional<PeerMessage.StoreChanges> changes = relay.next(table, TOLD_MS);
            if (changes.isEmpty() || take(changes.get())) {
                return 0;
            }
        }
        return read();
    }

    private long read() {
        try {
            boolean changed = mustRead ? readWhole() : readChanges();
            delay.recordSuccess();
            return changed ? GATHER_MS : 0;
        } catch (HistoryLostException e) {
            mustRead = true;
            decisions
                    .line("store-history-lost")
                    .with("table", table)
                    .with("after", version)
                    .write(DecisionLog.Weight.NOTABLE);
            return 0;
        } catch (PlatformUnavailableException e) {
            lost(e);
            return delay.nextMs();
        }
    }

    /** Takes over what a peer read; returns false if changes before it were missed. */
    private boolean take(PeerMessage.StoreChanges changes) {
        if (changes.after() > version) {
            return false;
        }
        answered();
        List<RowStore.Row> news =
                changes.rows().stream().filter(row -> row.version() > version).toList();
        if (changes.version() > version) {
            apply(new RowStore.Rows(news, changes.version()), changes.storeReturned());
        }
        return true;
    }

    /** Reads what changed; returns whether anything did. */
    private boolean readChanges() throws HistoryLostException, PlatformUnavailableException {
        long after = version;
        RowStore.Rows changes = store.follow(table, after, relay.isTold(table) ? Duration.ZERO : wait);
        answered();
        apply(changes, hasReturned());
        relay.pass(new PeerMessage.StoreChanges(table, after, changes.rows(), version, hasReturned()));
        return !changes.rows().isEmpty();
    }

    /** Reads the whole table; returns whether the changes that follow are to be gathered. */
    private boolean readWhole() throws PlatformUnavailableException {
        RowStore.Rows rows = store.read(table);
        answered();
        if (rows.version() < version) {
            throw new PlatformUnavailableException(
                    "the store", "version " + rows.version() + " of table " + table + " after " + version, null);
        }
        Set<String> missing = new HashSet<>(known);
        for (RowStore.Row row : rows.rows()) {
            missing.remove(row.key());
            known.add(row.key());
            listener.put(row);
        }
        for (String key : missing) {
            known.remove(key);
            listener.removed(key, hasReturned());
        }
        version = rows.version();
        mustRead = false;
        listener.settled();
        return false;
    }

    private void apply(RowStore.Rows changes, boolean storeReturned) {
        for (RowStore.Row row : changes.rows()) {
            if (row.value().isPresent()) {
                known.add(row.key());
                listener.put(row);
            } else {
                known.remove(row.key());
                listener.removed(row.key(), storeReturned);
            }
        }
        version = Math.max(version, changes.version());
        listener.settled();
    }

    private boolean hasReturned() {
        return returnedNanos != Long.MIN_VALUE && ticker.nanos() - returnedNanos < RETURN_NANOS;
    }

    private void answered() {
        if (!away) {
            return;
        }
        away = false;
        returnedNanos = ticker.nanos();
        decisions
                .line("store-regained")
                .with("table", table)
                .with("version", version)
                .write(DecisionLog.Weight.NOTABLE);
    }

    private void lost(PlatformUnavailableException e) {
        delay.recordFailure();
        if (away) {
            return;
        }
        away = true;
        decisions
                .line("store-lost")
                .with("table", table)
                .with("version", version)
                .with("reason", e.text())
                .write(DecisionLog.Weight.NOTABLE);
    }
}
