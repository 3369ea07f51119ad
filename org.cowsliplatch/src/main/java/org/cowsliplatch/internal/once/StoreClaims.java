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
 * Claims keys of a form of the caller's own by conditional writes in the platform's store, within a budget.
 *
 * <p>Blocking; not for use on a thread that serves connections.
 */
public final class StoreClaims {
    /** Outcome of a claim. */
    public sealed interface Claim {
        /** The key is this entry instance's to run, for the first time. */
        record Mine() implements Claim {}

        /**
         * The key is another's.
         *
         * @param domain owner and incarnation that claimed it
         */
        record Theirs(String domain) implements Claim {}

        /**
         * The store could not be asked; the key may be claimed, but nothing ran here.
         *
         * @param reason reason, for a person
         */
        record NotClaimed(String reason) implements Claim {}
    }

    private static final int TRIES = 3;
    private static final String PREFIX = "once/";

    private final TableService rows;
    private final String domain;
    private final TokenBucket writeBudget;

    /**
     * Creates claims on behalf of one incarnation.
     *
     * @param rows table service
     * @param domain owner and incarnation
     * @param writeBudget writes that may be spent
     */
    public StoreClaims(TableService rows, String domain, TokenBucket writeBudget) {
        this.rows = rows;
        this.domain = domain;
        this.writeBudget = writeBudget;
    }

    /**
     * Claims a key.
     *
     * @param key key
     * @param nonce unique to this call, so that the call knows its own write again
     */
    public Claim claim(IdempotencyKey.Opaque key, String nonce) {
        String row = PREFIX + hash(key.text());
        String value = domain + " " + nonce;
        for (int i = 0; i < TRIES; i++) {
            if (!writeBudget.tryTake(1)) {
                return new Claim.NotClaimed("the write budget for keys of this form is used up");
            }
            try {
                rows.write(List.of(new TableService.Write(row, 0, value)));
                return new Claim.Mine();
            } catch (RowChangedException e) {
                return holder(row, value);
            } catch (WriteOutcomeUnknownException e) {
                // The same conditional write is sent again: it finds its own row or takes effect now.
            } catch (PlatformUnavailableException e) {
                return new Claim.NotClaimed("the platform's store gave no answer");
            }
        }
        return new Claim.NotClaimed("answers of the platform's store were lost");
    }

    private Claim holder(String row, String mine) {
        try {
            Optional<TableService.Row> found = rows.read(row);
            if (found.isEmpty()) {
                return new Claim.NotClaimed("the platform's store contradicts itself");
            }
            String value = found.get().value();
            if (value.equals(mine)) {
                return new Claim.Mine();
            }
            return new Claim.Theirs(value.substring(0, value.indexOf(' ')));
        } catch (PlatformUnavailableException e) {
            return new Claim.NotClaimed("the platform's store gave no answer");
        }
    }

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
        }
    }
}
