package org.cowsliplatch.internal.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.platform.TableService;

/**
 * Claims opaque keys by conditional writes in the platform's store, within a write budget.
 *
 * <p>Calls block; they must not be made on a thread that serves connections.
 */
public final class StoreClaims {
    /** Outcome of a claim. The simple names of its records are values of the span attribute cowsliplatch.claim. */
    public sealed interface Claim {
        /** This incarnation claimed the key and runs its request. */
        record Mine() implements Claim {}

        /**
         * Another incarnation claimed the key.
         *
         * @param domain name and incarnation of the entry instance that claimed it
         */
        record Theirs(String domain) implements Claim {}

        /**
         * The claim could not be confirmed. The store may hold it, but the request did not run here.
         *
         * @param reason reason, for the detail of an error response
         */
        record NotClaimed(String reason) implements Claim {}
    }

    private static final int MAX_TRIES = 3;
    private static final String ROW_PREFIX = "once/";

    private final TableService rows;
    private final String domain;
    private final TokenBucket writeBudget;

    /**
     * Creates claims on behalf of one incarnation.
     *
     * @param rows table service
     * @param domain name and incarnation of the entry instance
     * @param writeBudget limit on the rate of writes
     */
    public StoreClaims(TableService rows, String domain, TokenBucket writeBudget) {
        this.rows = rows;
        this.domain = domain;
        this.writeBudget = writeBudget;
    }

    /**
     * Claims a key.
     *
     * @param key key to claim
     * @param nonce unique to this call, so that a retry recognises the row of its own earlier write
     */
    public Claim claim(IdempotencyKey.Opaque key, String nonce) {
        String rowKey = ROW_PREFIX + hash(key.text());
        String value = domain + " " + nonce;
        for (int i = 0; i < MAX_TRIES; i++) {
            if (!writeBudget.tryTake(1)) {
                return new Claim.NotClaimed("the write budget for keys without a prefix from a look-up is used up");
            }
            try {
                rows.write(List.of(new TableService.Write(rowKey, 0, value)));
                return new Claim.Mine();
            } catch (RowChangedException e) {
                return existingClaim(rowKey, value);
            } catch (WriteOutcomeUnknownException e) {
                // Retried: the same conditional write either finds its own row from before or takes effect now.
            } catch (PlatformUnavailableException e) {
                return new Claim.NotClaimed("the platform's store is unavailable");
            }
        }
        return new Claim.NotClaimed("the platform's store did not confirm the claim");
    }

    private Claim existingClaim(String rowKey, String ownValue) {
        try {
            Optional<TableService.Row> found = rows.read(rowKey);
            if (found.isEmpty()) {
                return new Claim.NotClaimed("the platform's store rejected the claim but has no row for the key");
            }
            String value = found.get().value();
            if (value.equals(ownValue)) {
                return new Claim.Mine();
            }
            return new Claim.Theirs(value.substring(0, value.indexOf(' ')));
        } catch (PlatformUnavailableException e) {
            return new Claim.NotClaimed("the platform's store is unavailable");
        }
    }

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
