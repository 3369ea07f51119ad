package org.cowsliplatch.internal.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A key that a caller sends so that copies of one request run at most once. */
public sealed interface IdempotencyKey {
    /** Returns the key as the caller sent it, without quotes. */
    String text();

    /**
     * A key under a prefix that an entry instance gave out: only that one, in that incarnation, may run it.
     *
     * @param text whole key
     * @param prefix part before the dot
     * @param owner name of the entry instance
     * @param incarnation start of the entry instance
     * @param minute minutes from the start of the incarnation to the issue of the prefix
     */
    record Owned(String text, String prefix, String owner, String incarnation, long minute) implements IdempotencyKey {
        /** Returns the owner together with its incarnation. */
        public String domain() {
            return owner + "~" + incarnation;
        }
    }

    /**
     * A key of another form, which must be claimed in the platform's store before it runs.
     *
     * @param text whole key
     */
    record Opaque(String text) implements IdempotencyKey {}

    /** Parser of both forms. */
    final class Parser {
        private static final Pattern OWNED = Pattern.compile(
                "(([a-z0-9][a-z0-9-]{0,62})~([0-9a-f]{16})~([0-9a-z]{1,8})~[A-Za-z0-9_-]{12})\\.[A-Za-z0-9_-]{16,64}");
        private static final Pattern FOREIGN = Pattern.compile("[A-Za-z0-9_:-]{16,128}");
        private static final int RADIX = 36;

        private Parser() {}

        /** Returns the key that a header value holds, or empty if it is malformed. */
        public static Optional<IdempotencyKey> parse(String header) {
            String text = unquote(header.trim());
            Matcher owned = OWNED.matcher(text);
            if (owned.matches()) {
                long minute = Long.parseLong(owned.group(4), RADIX);
                return Optional.of(new Owned(text, owned.group(1), owned.group(2), owned.group(3), minute));
            }
            if (FOREIGN.matcher(text).matches()) {
                return Optional.of(new Opaque(text));
            }
            return Optional.empty();
        }

        private static String unquote(String text) {
            boolean quoted = text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"");
            return quoted ? text.substring(1, text.length() - 1) : text;
        }
    }
}
