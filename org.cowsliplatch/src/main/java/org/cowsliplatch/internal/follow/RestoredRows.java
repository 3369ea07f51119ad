package org.cowsliplatch.internal.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Keeps confirmed additions and removals of rows in force when the store is restored from an older copy, until they are
 * written again. Thread-safe.
 */
public final class RestoredRows {
    /** What the copy says about a row, and what was confirmed later. */
    public enum Disagreement {
        /** The copy lacks a row that was added later. */
        LOST,
        /** The copy has a row that was removed later. */
        REVIVED
    }

    /**
     * A disagreement that has lasted for so long that the store is right.
     *
     * @param key key of the row
     * @param disagreement what the store says
     */
    public record Settled(String key, Disagreement disagreement) {}

    private record Open(Disagreement disagreement, long sinceNanos) {}

    /**
     * Time in ns within which confirmed changes are expected to be written again. Longer than the users' bound for rows
     * that endpoints write, since operators may write theirs later.
     */
    private static final long REWRITE_NANOS = 10_000_000_000L;

    private static final int MAX_REMOVED = 512;

    private final Ticker ticker;
    private final Map<String, Long> versions = new HashMap<>();
    /** Version of the last content of removed rows by key, oldest first. */
    private final Map<String, Long> removedVersions = new LinkedHashMap<>();

    private final Map<String, Open> open = new HashMap<>();

    /** Creates an instance without rows. */
    public RestoredRows(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records that a row was read; returns whether its content is in force, false if it was removed since. */
    public synchronized boolean put(String key, long version) {
        Long removedVersion = removedVersions.get(key);
        if (removedVersion != null && removedVersion == version) {
            open.putIfAbsent(key, new Open(Disagreement.REVIVED, ticker.nanos()));
            return false;
        }
        removedVersions.remove(key);
        open.remove(key);
        versions.put(key, version);
        return true;
    }

    /** Records that the store confirmed the removal of a row. */
    public synchronized void remove(String key) {
        open.remove(key);
        Long version = versions.remove(key);
        if (version != null) {
            removedVersions.put(key, version);
            if (removedVersions.size() > MAX_REMOVED) {
                removedVersions.remove(removedVersions.keySet().iterator().next());
            }
        }
    }

    /** Records that a row is missing in the copy that the store was restored from. */
    public synchronized void lose(String key) {
        if (versions.containsKey(key)) {
            open.putIfAbsent(key, new Open(Disagreement.LOST, ticker.nanos()));
        } else {
            open.remove(key);
        }
    }

    /** Removes and returns the disagreements in which the confirmed change was not written again in time. */
    public synchronized List<Settled> settle() {
        long now = ticker.nanos();
        List<Settled> settled = new ArrayList<>();
        for (Map.Entry<String, Open> entry : Map.copyOf(open).entrySet()) {
            if (now - entry.getValue().sinceNanos() > REWRITE_NANOS) {
                settled.add(new Settled(entry.getKey(), entry.getValue().disagreement()));
                open.remove(entry.getKey());
                versions.remove(entry.getKey());
                removedVersions.remove(entry.getKey());
            }
        }
        return settled;
    }
}
