package org.cowsliplatch.internal.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Idempotency key of a request: the request runs at most once, however many copies of it arrive. */
public sealed interface IdempotencyKey {
    /** Returns the key as the caller sent it, without quotes. */
    String text();

    /**
     * A key whose prefix was issued by an entry instance. Only the holder of the key ledger of that instance and
     * incarnation may run the request.
     *
     * @param text whole key
     * @param prefix part before the dot, issued by the owner
     * @param owner name of the entry instance that issued the prefix
     * @param incarnation identifies one start of the owner, 16 hexadecimal digits
     * @param minute minutes from the start of the incarnation to the issue of the prefix
     */
    record Owned(String text, String prefix, String owner, String incarnation, long minute) implements IdempotencyKey {
        /** Returns the owner and its incarnation, which identify the key ledger. */
        public String domain() {
            return owner + "~" + incarnation;
        }
    }

    /**
     * A key in any other form. It names no owner, so it must be claimed in the platform's store before its request runs.
     *
     * @param text whole key
     */
    record Opaque(String text) implements IdempotencyKey {}

    /** Parses keys of both forms. */
    final class Parser {
        private static final Pattern OWNED = Pattern.compile(
                "(([a-z0-9][a-z0-9-]{0,62})~([0-9a-f]{16})~([0-9a-z]{1,8})~[A-Za-z0-9_-]{12})\\.[A-Za-z0-9_-]{16,64}");
        private static final Pattern OPAQUE = Pattern.compile("[A-Za-z0-9_:-]{16,128}");
        private static final int MINUTE_RADIX = 36;

        private Parser() {}

        /** Returns the key in a header value, or empty if it is malformed. */
        public static Optional<IdempotencyKey> parse(String header) {
            String text = unquote(header.trim());
            Matcher owned = OWNED.matcher(text);
            if (owned.matches()) {
                long minute = Long.parseLong(owned.group(4), MINUTE_RADIX);
                return Optional.of(new Owned(text, owned.group(1), owned.group(2), owned.group(3), minute));
            }
            if (OPAQUE.matcher(text).matches()) {
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
