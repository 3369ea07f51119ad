package org.cowsliplatch.internal.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Records of the idempotency keys of one domain, that is, of one owner in one incarnation.
 *
 * <p>Only the holder of the ledger runs requests with these keys. A record is retained beyond the first-use window of
 * its key, so a key without a record is either new or too old to run. Thread-safe.
 */
public final class KeyLedger {
    /** Time from the issue of a prefix in which its keys may first be used, in minutes. */
    public static final long FIRST_USE_WINDOW_MINUTES = 15;
    /** Time for which a record is kept after its first-use window, in minutes. */
    private static final long RETENTION_MINUTES = 15;

    private static final int RECORD_OVERHEAD_BYTES = 400;

    private static final class LedgerEntry {
        final String fingerprint;
        final long minute;
        final CompletableFuture<RecordedOutcome> outcome = new CompletableFuture<>();

        LedgerEntry(String fingerprint, long minute) {
            this.fingerprint = fingerprint;
            this.minute = minute;
        }
    }

    /**
     * One record in a form that can be sent to a successor.
     *
     * @param key whole key
     * @param fingerprint fingerprint of the request
     * @param minute minute of the incarnation in which the prefix of the key was issued
     * @param outcome outcome of its request
     */
    public record ExportedRecord(String key, String fingerprint, long minute, RecordedOutcome outcome) {}

    private final KeyIssuer issuer;
    private final long maxBytes;
    private final Map<String, LedgerEntry> entries = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();
    private volatile @Nullable CompletableFuture<String> successor;

    /**
     * Creates an empty ledger.
     *
     * @param issuer issuer of the prefixes of this domain
     * @param maxBytes limit on the memory for records, in bytes
     */
    public KeyLedger(KeyIssuer issuer, long maxBytes) {
        this.issuer = issuer;
        this.maxBytes = maxBytes;
    }

    /** Returns the issuer of this domain's prefixes. */
    public KeyIssuer issuer() {
        return issuer;
    }

    /**
     * Claims a key of this domain for a request.
     *
     * @param key key of the request
     * @param fingerprint fingerprint of the request; all copies of one request have the same
     */
    public KeyClaim claim(IdempotencyKey.Owned key, String fingerprint) {
        if (!issuer.isIssued(key)) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.FORGED);
        }
        LedgerEntry existing = entries.get(key.text());
        if (existing != null) {
            return duplicate(existing, fingerprint);
        }
        CompletableFuture<String> handOver = successor;
        if (handOver != null) {
            return new KeyClaim.Moved(handOver);
        }
        if (isWindowPast(key.minute())) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.WINDOW_PAST);
        }
        if (bytes.get() > maxBytes) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.FULL);
        }
        return claimNew(key, fingerprint);
    }

    /**
     * Releases a claimed key whose request has not been started; waiting copies complete with an unknown outcome.
     *
     * <p>Only for keys whose first use is decided elsewhere: a released key can be claimed again, so it could run twice.
     */
    void release(String key, String reason) {
        LedgerEntry entry = entries.remove(key);
        if (entry != null) {
            entry.outcome.complete(new RecordedOutcome.Unknown(reason));
            bytes.addAndGet(-size(entry));
        }
    }

    /** Removes completed records whose retention has ended; returns the number of records left. */
    public int sweep() {
        long now = issuer.minute();
        entries.values().removeIf(entry -> {
            boolean expired = now > entry.minute + FIRST_USE_WINDOW_MINUTES + RETENTION_MINUTES;
            if (expired && entry.outcome.isDone()) {
                bytes.addAndGet(-size(entry));
                return true;
            }
            return false;
        });
        return entries.size();
    }

    /** Stops claiming new keys, which wait for the successor from now on. Returns whether no request is running. */
    public boolean freeze() {
        synchronized (this) {
            if (successor == null) {
                successor = new CompletableFuture<>();
            }
        }
        return entries.values().stream().allMatch(entry -> entry.outcome.isDone());
    }

    /** Returns all records; to be called after {@link #freeze} has returned true. */
    public List<ExportedRecord> export() {
        List<ExportedRecord> exported = new ArrayList<>();
        entries.forEach((key, entry) -> exported.add(
                new ExportedRecord(key, entry.fingerprint, entry.minute, entry.outcome.getNow(unknown()))));
        return exported;
    }

    /** Completes the hand-over: waiting and later requests are forwarded to the successor with this name. */
    public void completeHandOver(String successorName) {
        CompletableFuture<String> handOver = successor;
        if (handOver != null) {
            handOver.complete(successorName);
        }
    }

    /** Adds records from the former holder of this ledger; existing records are kept. */
    public void adopt(List<ExportedRecord> exported) {
        for (ExportedRecord record : exported) {
            LedgerEntry entry = new LedgerEntry(record.fingerprint(), record.minute());
            entry.outcome.complete(record.outcome());
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
        LedgerEntry added = new LedgerEntry(fingerprint, key.minute());
        synchronized (this) {
            CompletableFuture<String> handOver = successor;
            if (handOver != null) {
                return new KeyClaim.Moved(handOver);
            }
            LedgerEntry existing = entries.putIfAbsent(key.text(), added);
            if (existing != null) {
                return duplicate(existing, fingerprint);
            }
        }
        var unused = added.outcome.whenComplete((outcome, failure) -> bytes.addAndGet(size(added)));
        return new KeyClaim.Run(added.outcome);
    }

    private static KeyClaim duplicate(LedgerEntry entry, String fingerprint) {
        if (!entry.fingerprint.equals(fingerprint)) {
            return new KeyClaim.Rejected(KeyClaim.Rejection.OTHER_REQUEST);
        }
        return new KeyClaim.Duplicate(entry.outcome);
    }

    /** Returns whether the first-use window of a key has passed; up to one minute early, to be on the safe side. */
    private boolean isWindowPast(long minute) {
        return issuer.minute() >= minute + FIRST_USE_WINDOW_MINUTES;
    }

    private static int size(LedgerEntry entry) {
        return RECORD_OVERHEAD_BYTES + entry.outcome.getNow(unknown()).size();
    }

    private static RecordedOutcome unknown() {
        return new RecordedOutcome.Unknown("the request had not completed");
    }
}
