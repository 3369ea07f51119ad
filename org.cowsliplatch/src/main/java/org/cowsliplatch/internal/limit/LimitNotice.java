package org.cowsliplatch.internal.limit;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * What one response says about the rate limit of the endpoint that sent it.
 *
 * @param kind whether the response names a limit
 * @param perSecond limit in requests per second from all entry instances together; 0 unless a limit is named
 */
public record LimitNotice(Kind kind, double perSecond) {
    /** Whether a response names a limit. */
    public enum Kind {
        /** The response names a limit. */
        NAMED,
        /** The response names no limit, so the endpoint has none. */
        ABSENT,
        /** There was no response, or its limit is unreadable: the limit known so far stays. */
        UNKNOWN
    }

    /** Notice of a response that names no limit. */
    public static final LimitNotice ABSENT = new LimitNotice(Kind.ABSENT, 0);
    /** Notice of an attempt that tells nothing. */
    public static final LimitNotice UNKNOWN = new LimitNotice(Kind.UNKNOWN, 0);

    /** Longest value that is read, in characters. */
    private static final int MAX_LENGTH = 64;

    private static final Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?|\\.[0-9]+");

    /** Checks the limit. */
    public LimitNotice {
        if (!(perSecond >= 0) || perSecond == Double.POSITIVE_INFINITY) {
            throw new IllegalArgumentException("limit is " + perSecond + "/s, expected a number of 0 or more");
        }
    }

    /** Returns the notice of a limit in requests per second. */
    public static LimitNotice named(double perSecond) {
        return new LimitNotice(Kind.NAMED, perSecond);
    }

    /**
     * Returns the notice of a response.
     *
     * @param value value of the response header that names the limit, or null if there is none
     */
    public static LimitNotice parse(@Nullable String value) {
        if (value == null) {
            return ABSENT;
        }
        String trimmed = value.trim();
        return trimmed.length() <= MAX_LENGTH && DECIMAL.matcher(trimmed).matches()
                ? named(Double.parseDouble(trimmed))
                : UNKNOWN;
    }
}
