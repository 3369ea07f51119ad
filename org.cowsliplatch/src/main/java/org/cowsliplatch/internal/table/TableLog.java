package org.cowsliplatch.internal.table;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;

/**
 * The version in force on this entry instance; it only ever rises.
 *
 * <p>Readers take {@link #current()} without a lock. Recent changes are kept for peers that are behind and for a
 * store that was restored to an older state.
 */
public final class TableLog {
    /** What an announced version means for this entry instance. */
    public enum VersionComparison {
        /** The announced version is newer than the one in force. */
        BEHIND,
        /** Both are the same. */
        SAME,
        /** The announced version is older than the one in force. */
        AHEAD
    }

    /** Told of versions that come into force. */
    @FunctionalInterface
    public interface Listener {
        /**
         * A version came into force.
         *
         * @param version the version
         * @param acceptedAtMs wall-clock time of its acceptance, or 0 if it is not known
         */
        void inForce(TableVersion version, long acceptedAtMs);
    }

    private static final int CHANGES_KEPT = 512;

    private final Deque<TableChange> recent = new ArrayDeque<>();
    private final Listener listener;
    private volatile TableVersion current = TableVersion.NONE;

    /**
     * Creates a log at version 0.
     *
     * @param listener told of each version that comes into force, in order
     */
    public TableLog(Listener listener) {
        this.listener = listener;
    }

    /** Returns the version in force. */
    public TableVersion current() {
        return current;
    }

    /**
     * Compares an announced version with the one in force.
     *
     * @param source who announced it
     * @param version announced number
     * @param digest announced digest
     * @throws TableRegressionException if the number is the one in force but the content differs
     */
    public VersionComparison compare(String source, long version, String digest) throws TableRegressionException {
        TableVersion mine = current;
        if (version > mine.number()) {
            return VersionComparison.BEHIND;
        }
        if (version < mine.number()) {
            return VersionComparison.AHEAD;
        }
        if (version != 0 && !digest.equals(mine.digest())) {
            throw new TableRegressionException(source, version, mine.number(), "same number with other content");
        }
        return VersionComparison.SAME;
    }

    /**
     * Puts changes into force, oldest first; those already in force are passed over.
     *
     * @param source who offered them
     * @return whether the version in force is now the last of them
     * @throws TableException if a change does not fit or contradicts what is in force
     */
    public synchronized boolean append(String source, List<TableChange> changes) throws TableException {
        for (TableChange change : changes) {
            TableVersion mine = current;
            if (change.version() < mine.number()) {
                continue;
            }
            if (change.version() == mine.number()) {
                compare(source, change.version(), change.digest());
                continue;
            }
            if (change.version() != mine.number() + 1) {
                return false;
            }
            putInForce(new TableVersion(change.version(), change.applyTo(mine.tables())), change.acceptedAtMs());
            remember(change);
        }
        return true;
    }

    /**
     * Puts a whole version into force if it is newer.
     *
     * @throws TableRegressionException if it has the number in force but other content
     */
    public synchronized void adopt(String source, TableVersion version) throws TableRegressionException {
        if (compare(source, version.number(), version.digest()) != VersionComparison.BEHIND) {
            return;
        }
        recent.clear();
        putInForce(version, 0);
    }

    /** Returns the changes after a version that are still kept, oldest first; empty if any of them is not. */
    public synchronized List<TableChange> changesAfter(long version) {
        List<TableChange> changes = new ArrayList<>();
        for (TableChange change : recent) {
            if (change.version() > version) {
                changes.add(change);
            }
        }
        boolean complete = !changes.isEmpty() && changes.get(0).version() == version + 1;
        return complete ? changes : List.of();
    }

    private void putInForce(TableVersion version, long acceptedAtMs) {
        current = version;
        listener.inForce(version, acceptedAtMs);
    }

    private void remember(TableChange change) {
        recent.addLast(change);
        if (recent.size() > CHANGES_KEPT) {
            recent.removeFirst();
        }
    }
}
