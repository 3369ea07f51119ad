package org.cowsliplatch.internal.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Records of the keys of one domain, that is of one owner in one incarnation.
 *
 * <p>Only the holder of the ledger runs these keys. A record outlives the time in which its key may first be used,
 * so a key without a record is either new or too old to run. Safe for use by several threads.
 */
public final class KeyLedger {
    /** Time from the issue of a prefix in which its keys may first be used, in minutes. */
    public static final long FIRST_USE_WINDOW_MINUTES = 15;
    /** Time for which a record is kept beyond that, in minutes. */
    private static final long KEPT_MINUTES = 15;

    private static final int RECORD_OVERHEAD_BYTES = 400;

    private static final class Entry {
        final String fingerprint;
        final long minute;
        final CompletableFuture<RecordedOutcome> record = new CompletableFuture<>();

        Entry(String fingerprint, long minute) {
            this.fingerprint = fingerprint;
            this.minute = minute;
        }
    }

    /**
     * One record in a form that can be sent to a successor.
     *
     * @param key whole key
     * @param fingerprint what the request looked like
     * @param minute minute of issue
     * @param outcome outcome of its request
     */
    public record ExportedRecord(String key, String fingerprint, long minute, RecordedOutcome outcome) {}

    private final KeyIssuer issuer;
    private final long mostBytes;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();
    private volatile @Nullable CompletableFuture<String> successor;

    /**
     * Creates an empty ledger.
     *
     * @param issuer issuer of the prefixes of this domain
     * @param mostBytes bound on the memory for records, in bytes
     */
    public KeyLedger(KeyIssuer issuer, long mostBytes) {
        this.issuer = issuer;
        this.mostBytes = mostBytes;
    }

    /** Returns the issuer of this domain's prefixes. */
    public KeyIssuer issuer() {
        return issuer;
    }

    /**
     * Decides what becomes of a request with a key of this domain.
     *
     * @param key key
     * @param fingerprint what the request looks like; copies of one request have the same
     */
    public KeyClaim claim(IdempotencyKey.Owned key, String fingerprint) {
        if (!issuer.isIssued(key)) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.FORGED);
        }
        Entry known = entries.get(key.text());
        if (known != null) {
            return duplicate(known, fingerprint);
        }
        CompletableFuture<String> moved = successor;
        if (moved != null) {
            return new KeyClaim.Moved(moved);
        }
        if (isWindowPast(key.minute())) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.WINDOW_PAST);
        }
        if (bytes.get() > mostBytes) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.FULL);
        }
        return claimNew(key, fingerprint);
    }

    /**
     * Gives a claimed key back that nothing was done for; copies that wait are told that its outcome is unknown.
     *
     * <p>Only for keys whose first use is decided elsewhere, or the key could run twice.
     */
    void release(String key, String why) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            entry.record.complete(new RecordedOutcome.Unknown(why));
            bytes.addAndGet(-size(entry));
        }
    }

    /** Forgets records that no copy of a request can need any more; returns how many are left. */
    public int sweep() {
        long now = issuer.minute();
        entries.values().removeIf(entry -> {
            boolean old = now > entry.minute + FIRST_USE_WINDOW_MINUTES + KEPT_MINUTES;
            if (old && entry.record.isDone()) {
                bytes.addAndGet(-size(entry));
                return true;
            }
            return false;
        });
        return entries.size();
    }

    /** Runs no new key from now on; new ones wait for the successor. Returns whether no request is running. */
    public boolean freeze() {
        synchronized (this) {
            if (successor == null) {
                successor = new CompletableFuture<>();
            }
        }
        return entries.values().stream().allMatch(entry -> entry.record.isDone());
    }

    /** Returns all records; to be called once {@link #freeze} has said that nothing is running. */
    public List<ExportedRecord> export() {
        List<ExportedRecord> exported = new ArrayList<>();
        entries.forEach((key, entry) ->
                exported.add(new ExportedRecord(key, entry.fingerprint, entry.minute, entry.record.getNow(unknown()))));
        return exported;
    }

    /** Sends waiting and later requests to the entry instance that took the records over. */
    public void completeHandOver(String name) {
        CompletableFuture<String> moved = successor;
        if (moved != null) {
            moved.complete(name);
        }
    }

    /** Takes records over from the former holder of this ledger; those already here stay. */
    public void adopt(List<ExportedRecord> exported) {
        for (ExportedRecord record : exported) {
            Entry entry = new Entry(record.fingerprint(), record.minute());
            entry.record.complete(record.outcome());
            if (entries.putIfAbsent(record.key(), entry) == null) {
                bytes.addAndGet(size(entry));
            }
        }
    }

    /** Returns the number of records. */
    public int size() {
        return entries.size();
    }

    private KeyClaim claimNew(IdempotencyKey.Owned key, String fingerprint) {
        Entry fresh = new Entry(fingerprint, key.minute());
        synchronized (this) {
            CompletableFuture<String> moved = successor;
            if (moved != null) {
                return new KeyClaim.Moved(moved);
            }
            Entry other = entries.putIfAbsent(key.text(), fresh);
            if (other != null) {
                return duplicate(other, fingerprint);
            }
        }
        var unused = fresh.record.whenComplete((recorded, failure) -> bytes.addAndGet(size(fresh)));
        return new KeyClaim.Run(fresh.record);
    }

    private static KeyClaim duplicate(Entry entry, String fingerprint) {
        if (!entry.fingerprint.equals(fingerprint)) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.OTHER_REQUEST);
        }
        return new KeyClaim.Duplicate(entry.record);
    }

    /** Returns whether a key of a minute may no longer be used for the first time; one minute early to be safe. */
    private boolean isWindowPast(long minute) {
        return issuer.minute() >= minute + FIRST_USE_WINDOW_MINUTES;
    }

    private static int size(Entry entry) {
        return RECORD_OVERHEAD_BYTES + entry.record.getNow(unknown()).size();
    }

    private static RecordedOutcome unknown() {
        return new RecordedOutcome.Unknown("the request had not ended");
    }
}
