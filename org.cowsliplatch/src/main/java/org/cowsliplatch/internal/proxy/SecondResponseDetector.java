package org.cowsliplatch.internal.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Finds the head of a second response among the bytes of a body that ends with its connection.
 *
 * <p>Nothing delimits such a body from a response that the server sends after it (RFC 9112, section 6.3), so all that tells
 * them apart is the head: a status line, and the name of a header field in the next line.
 */
final class SecondResponseDetector {
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_REASON_BYTES = 256;
    private static final int MAX_FIELD_NAME_BYTES = 64;
    private static final String FIELD_NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    /** What is expected next of a head. */
    private enum Part {
        NOTHING,
        MINOR_VERSION,
        STATUS,
        REASON,
        LINE_END,
        FIELD_NAME,
        FOUND
    }

    private Part part = Part.NOTHING;
    /** Number of bytes of {@link #VERSION} that the last bytes match. */
    private int versionMatched;
    /** Number of bytes of the current part. */
    private int length;

    /** Looks at the remaining bytes of a buffer, which is left as it is. */
    void examine(ByteBuffer buffer) {
        for (int i = buffer.position(); i < buffer.limit() && part != Part.FOUND; i++) {
            byte next = buffer.get(i);
            if (part != Part.NOTHING) {
                advance(next);
            }
            if (part != Part.FOUND && isVersionComplete(next)) {
                enter(Part.MINOR_VERSION);
            }
        }
    }

    /** Returns whether the body contains the head of a second response. */
    boolean isFound() {
        return part == Part.FOUND;
    }

    /** Returns whether the bytes so far contain a second response, or end with a status line that may be its beginning. */
    boolean isFoundOrBegun() {
        return part.compareTo(Part.REASON) >= 0;
    }

    private boolean isVersionComplete(byte next) {
        if (next == VERSION[versionMatched]) {
            versionMatched++;
        } else {
            versionMatched = next == VERSION[0] ? 1 : 0;
        }
        if (versionMatched < VERSION.length) {
            return false;
        }
        versionMatched = 0;
        return true;
    }

    private void enter(Part next) {
        part = next;
        length = 0;
    }

    private void advance(byte next) {
        length++;
        switch (part) {
            case MINOR_VERSION -> advanceMinorVersion(next);
            case STATUS -> advanceStatus(next);
            case REASON -> advanceReason(next);
            case LINE_END -> enter(next == '\n' ? Part.FIELD_NAME : Part.NOTHING);
            case FIELD_NAME -> advanceFieldName(next);
            default -> throw new IllegalStateException("no part of a head: " + part);
        }
    }

    private void advanceMinorVersion(byte next) {
        boolean isValid = length == 1 ? isDigit(next) : next == ' ';
        if (!isValid) {
            enter(Part.NOTHING);
        } else if (length == 2) {
            enter(Part.STATUS);
        }
    }

    private void advanceStatus(byte next) {
        if (!isDigit(next)) {
            enter(Part.NOTHING);
        } else if (length == 3) {
            enter(Part.REASON);
        }
    }

    private void advanceReason(byte next) {
        boolean startsAsReason = length > 1 || next == ' ';
        if (next == '\r') {
            enter(Part.LINE_END);
        } else if (next == '\n' || length > MAX_REASON_BYTES || !startsAsReason) {
            enter(Part.NOTHING);
        }
    }

    private void advanceFieldName(byte next) {
        if (next == ':' && length > 1) {
            enter(Part.FOUND);
        } else if (!isFieldNameByte(next) || length > MAX_FIELD_NAME_BYTES) {
            enter(Part.NOTHING);
        }
    }

    private static boolean isDigit(byte next) {
        return next >= '0' && next <= '9';
    }

    private static boolean isFieldNameByte(byte next) {
        return isDigit(next)
                || (next >= 'a' && next <= 'z')
                || (next >= 'A' && next <= 'Z')
                || FIELD_NAME_SYMBOLS.indexOf(next) >= 0;
    }
}
