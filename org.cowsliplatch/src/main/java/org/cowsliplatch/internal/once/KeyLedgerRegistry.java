package org.cowsliplatch.internal.once;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.internal.util.Ticker;

/** The ledgers that this entry instance holds: its own, and those it took over from stopped ones. */
public final class KeyLedgerRegistry {
    private final String domain;
    private final KeyLedger own;
    private final Ticker ticker;
    private final long mostBytes;
    private final Map<String, KeyLedger> ledgers = new ConcurrentHashMap<>();
    private final KeyLedger foreign;
    private final StoreClaims claims;

    /**
     * Creates a desk with this incarnation's own ledger.
     *
     * @param issuer issuer of this incarnation
     * @param foreignIssuer issuer under which records of keys of other forms are kept
     * @param claims claims of keys of other forms
     * @param ticker clock
     * @param mostBytes bound on the memory of each ledger, in bytes
     */
    public KeyLedgerRegistry(
            KeyIssuer issuer, KeyIssuer foreignIssuer, StoreClaims claims, Ticker ticker, long mostBytes) {
        this.domain = issuer.domain();
        this.own = new KeyLedger(issuer, mostBytes);
        this.foreign = new KeyLedger(foreignIssuer, mostBytes);
        this.claims = claims;
        this.ticker = ticker;
        this.mostBytes = mostBytes;
        ledgers.put(domain, own);
    }

    /** Returns owner and incarnation of this desk. */
    public String domain() {
        return domain;
    }

    /** Returns the ledger of this incarnation. */
    public KeyLedger own() {
        return own;
    }

    /** Returns the ledger of a domain if it is held here. */
    public Optional<KeyLedger> ledger(String ofDomain) {
        return Optional.ofNullable(ledgers.get(ofDomain));
    }

    /** Returns the domains taken over from stopped entry instances, sorted. */
    public List<String> adoptedDomains() {
        return ledgers.keySet().stream()
                .filter(name -> !name.equals(domain))
                .sorted()
                .toList();
    }

    /** Returns the store's claims of keys of other forms. */
    public StoreClaims storeClaims() {
        return claims;
    }

    /** Claims a key of another form among the requests of this entry instance. */
    public KeyClaim claimOpaque(IdempotencyKey.Opaque key, String fingerprint) {
        return foreign.claim(foreignKey(key), fingerprint);
    }

    /** Gives a key of another form back that the store did not let this entry instance claim; nothing ran. */
    public void releaseOpaque(IdempotencyKey.Opaque key, String why) {
        foreign.release(key.text(), why);
    }

    /**
     * Takes over the ledger of a stopped entry instance.
     *
     * @param ofDomain its owner and incarnation
     * @param secret secret of its prefixes
     * @param ageNanos age of its incarnation
     * @param records its records, or a part of them
     */
    public void adopt(String ofDomain, byte[] secret, long ageNanos, List<KeyLedger.ExportedRecord> records) {
        KeyLedger ledger = ledgers.computeIfAbsent(ofDomain, name -> {
            KeyIssuer issuer = new KeyIssuer(name, secret, ticker, ticker.nanos() - ageNanos);
            return new KeyLedger(issuer, mostBytes);
        });
        ledger.adopt(records);
    }

    /** Forgets records that are no longer needed. */
    public void sweep() {
        ledgers.values().forEach(KeyLedger::sweep);
        foreign.sweep();
    }

    /** Returns the number of records. */
    public int size() {
        return ledgers.values().stream().mapToInt(KeyLedger::size).sum() + foreign.size();
    }

    /** Returns a key of another form as a key of the internal issuer, so that one ledger serves both. */
    private IdempotencyKey.Owned foreignKey(IdempotencyKey.Opaque key) {
        KeyIssuer issuer = foreign.issuer();
        return new IdempotencyKey.Owned(key.text(), issuer.prefix(), "", "", issuer.minute());
    }
}
