package org.cowsliplatch.internal.once;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cowsliplatch.internal.util.Ticker;

/** Issues the key prefixes of one incarnation and verifies them by their message authentication code. */
public final class KeyIssuer {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 9;
    private static final int MINUTE_RADIX = 36;

    private final String domain;
    private final byte[] secret;
    private final Ticker ticker;
    private final long startNanos;

    /**
     * Creates an issuer.
     *
     * @param domain name and incarnation of the entry instance
     * @param secret key of the message authentication code, at least 16 bytes
     * @param ticker clock
     * @param startNanos start of the incarnation on that clock, in ns
     */
    public KeyIssuer(String domain, byte[] secret, Ticker ticker, long startNanos) {
        this.domain = domain;
        this.secret = secret.clone();
        this.ticker = ticker;
        this.startNanos = startNanos;
    }

    /** Returns the prefix of the current minute. */
    public String prefix() {
        return prefix(minute());
    }

    /** Returns the minutes since the start of the incarnation. */
    public long minute() {
        return TimeUnit.NANOSECONDS.toMinutes(ticker.nanos() - startNanos);
    }

    /** Returns whether this issuer issued the prefix of a key. */
    public boolean isIssued(IdempotencyKey.Owned key) {
        byte[] expected = prefix(key.minute()).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, key.prefix().getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the name and incarnation of the entry instance. */
    public String domain() {
        return domain;
    }

    /** Returns the age of the incarnation in ns. */
    public long ageNanos() {
        return ticker.nanos() - startNanos;
    }

    /** Returns a copy of the secret, to be handed over to the successor at a planned stop. */
    public byte[] secret() {
        return secret.clone();
    }

    private String prefix(long minute) {
        String unsigned = domain + "~" + Long.toString(minute, MINUTE_RADIX);
        return unsigned + "~" + mac(unsigned);
    }

    private String mac(String unsigned) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            byte[] code = mac.doFinal(unsigned.getBytes(StandardCharsets.US_ASCII));
            return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(code, MAC_BYTES));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is not available in this Java runtime", e);
        }
    }
}
