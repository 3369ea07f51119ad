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
 * The version in force on this entry instance, whose number never decreases, and the recent changes that led to it.
 *
 * <p>{@link #current()} takes no lock. Recent changes are kept for peers that are behind and for a store that was
 * restored to an older state.
 */
public final class TableLog {
    /** The version in force on this entry instance relative to an announced one. */
    public enum VersionComparison {
        /** The version in force is older than the announced one. */
        BEHIND,
        /** Both are the same version. */
        SAME,
        /** The version in force is newer than the announced one. */
        AHEAD
    }

    /** Notified of versions that come into force. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called after a version has come into force.
         *
         * @param version the version
         * @param acceptedAtMs wall-clock time of its acceptance in ms since 1970, or 0 if unknown
         */
        void inForce(TableVersion version, long acceptedAtMs);
    }

    private static final int MAX_RECENT_CHANGES = 512;

    private final Deque<TableChange> recent = new ArrayDeque<>();
    private final Listener listener;
    private volatile TableVersion current = TableVersion.NONE;
    private volatile String source = "";

    /**
     * Creates a log at version 0.
     *
     * @param listener notified of each version that comes into force, in order
     */
    public TableLog(Listener listener) {
        this.listener = listener;
    }

    /** Returns the version in force. */
    public TableVersion current() {
        return current;
    }

    /** Returns who delivered the version in force, empty before the first. */
    public String source() {
        return source;
    }

    /**
     * Compares an announced version with the one in force.
     *
     * @param source sender of the announcement, for messages
     * @param version announced number
     * @param digest announced digest
     * @throws TableRegressionException if it has the number in force but other content
     */
    public VersionComparison compare(String source, long version, String digest) throws TableRegressionException {
        TableVersion inForce = current;
        if (version > inForce.number()) {
            return VersionComparison.BEHIND;
        }
        if (version < inForce.number()) {
            return VersionComparison.AHEAD;
        }
        if (version != 0 && !digest.equals(inForce.digest())) {
            throw new TableRegressionException(source, version, inForce.number(), "same number but different content");
        }
        return VersionComparison.SAME;
    }

    /**
     * Puts changes into force, oldest first; changes already in force are skipped.
     *
     * @param source sender of the changes, for messages
     * @return whether the version in force is now the last of them
     * @throws TableException if a change does not fit or conflicts with the version in force
     */
    public synchronized boolean append(String source, List<TableChange> changes) throws TableException {
        for (TableChange change : changes) {
            TableVersion inForce = current;
            if (change.version() < inForce.number()) {
                continue;
            }
            if (change.version() == inForce.number()) {
                compare(source, change.version(), change.digest());
                continue;
            }
            if (change.version() != inForce.number() + 1) {
                return false;
            }
            TableVersion next = new TableVersion(change.version(), change.applyTo(inForce.tables()));
            putInForce(source, next, change.acceptedAtMs());
            retain(change);
        }
        return true;
    }

    /**
     * Puts a whole version into force if it is newer than the one in force; recent changes are dropped.
     *
     * @param source sender of the version, for messages
     * @param version version offered
     * @throws TableRegressionException if it has the number in force but other content
     */
    public synchronized void adopt(String source, TableVersion version) throws TableRegressionException {
        if (compare(source, version.number(), version.digest()) != VersionComparison.BEHIND) {
            return;
        }
        recent.clear();
        putInForce(source, version, 0);
    }

    /** Returns all changes after a version, oldest first; empty if any of them is no longer kept. */
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

    private void putInForce(String from, TableVersion version, long acceptedAtMs) {
        source = from;
        current = version;
        listener.inForce(version, acceptedAtMs);
    }

    private void retain(TableChange change) {
        recent.addLast(change);
        if (recent.size() > MAX_RECENT_CHANGES) {
            recent.removeFirst();
        }
    }
}
