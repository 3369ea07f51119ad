package org.cowsliplatch.internal.once;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.internal.util.Ticker;

/** Key ledgers held by this entry instance: its own and those taken over from stopped entry instances. */
public final class KeyLedgerRegistry {
    private final String domain;
    private final KeyLedger own;
    private final Ticker ticker;
    private final long maxBytesPerLedger;
    private final Map<String, KeyLedger> ledgers = new ConcurrentHashMap<>();
    private final KeyLedger opaque;
    private final StoreClaims storeClaims;

    /**
     * Creates a registry with the ledger of this incarnation and one for opaque keys.
     *
     * @param issuer issuer of this incarnation
     * @param opaqueIssuer issuer under which records of opaque keys are kept
     * @param storeClaims claims opaque keys in the platform's store
     * @param ticker clock
     * @param maxBytesPerLedger limit on the memory of each ledger, in bytes
     */
    public KeyLedgerRegistry(
            KeyIssuer issuer, KeyIssuer opaqueIssuer, StoreClaims storeClaims, Ticker ticker, long maxBytesPerLedger) {
        this.domain = issuer.domain();
        this.own = new KeyLedger(issuer, maxBytesPerLedger);
        this.opaque = new KeyLedger(opaqueIssuer, maxBytesPerLedger);
        this.storeClaims = storeClaims;
        this.ticker = ticker;
        this.maxBytesPerLedger = maxBytesPerLedger;
        ledgers.put(domain, own);
    }

    /** Returns the name and incarnation of this entry instance. */
    public String domain() {
        return domain;
    }

    /** Returns the ledger of this incarnation. */
    public KeyLedger own() {
        return own;
    }

    /** Returns the ledger of a domain, or empty if it is not held here. */
    public Optional<KeyLedger> ledger(String keyDomain) {
        return Optional.ofNullable(ledgers.get(keyDomain));
    }

    /** Returns the domains taken over from stopped entry instances, sorted. */
    public List<String> adoptedDomains() {
        return ledgers.keySet().stream()
                .filter(name -> !name.equals(domain))
                .sorted()
                .toList();
    }

    /** Returns the claims of opaque keys in the platform's store. */
    public StoreClaims storeClaims() {
        return storeClaims;
    }

    /** Claims an opaque key among the requests of this entry instance only; the store decides among instances. */
    public KeyClaim claimOpaque(IdempotencyKey.Opaque key, String fingerprint) {
        return opaque.claim(asOwnedKey(key), fingerprint);
    }

    /** Releases an opaque key whose claim in the store could not be confirmed; its request did not run here. */
    public void releaseOpaque(IdempotencyKey.Opaque key, String reason) {
        opaque.release(key.text(), reason);
    }

    /**
     * Takes over the ledger of a stopped entry instance.
     *
     * @param keyDomain its name and incarnation
     * @param secret secret that authenticates its prefixes
     * @param ageNanos age of its incarnation in ns
     * @param records its records, or a part of them
     */
    public void adopt(String keyDomain, byte[] secret, long ageNanos, List<KeyLedger.ExportedRecord> records) {
        KeyLedger ledger = ledgers.computeIfAbsent(keyDomain, name -> {
            KeyIssuer issuer = new KeyIssuer(name, secret, ticker, ticker.nanos() - ageNanos);
            return new KeyLedger(issuer, maxBytesPerLedger);
        });
        ledger.adopt(records);
    }

    /** Removes expired records. */
    public void sweep() {
        ledgers.values().forEach(KeyLedger::sweep);
        opaque.sweep();
    }

    /** Returns the number of records in all ledgers. */
    public int size() {
        return ledgers.values().stream().mapToInt(KeyLedger::size).sum() + opaque.size();
    }

    /** Returns an opaque key as one of the internal issuer, so that {@link KeyLedger} serves both forms. */
    private IdempotencyKey.Owned asOwnedKey(IdempotencyKey.Opaque key) {
        KeyIssuer issuer = opaque.issuer();
        return new IdempotencyKey.Owned(key.text(), issuer.prefix(), "", "", issuer.minute());
    }
}
