package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reading of HTTP/1.1 messages from a blocking stream. */
final class Http {
    private static final int MAX_LINE_BYTES = 64 * 1024;

    /**
     * Start line and header fields of a message.
     *
     * @param startLine request line or status line
     * @param fields header fields by lower-case name; the last one wins
     */
    record Head(String startLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String part(int index) {
            String[] parts = startLine.split(" ");
            return index < parts.length ? parts[index] : "";
        }

        int status() {
            return Integer.parseInt(part(1));
        }
    }

    private Http() {}

    /** Reads a head; returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the channel ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(start, fields);
            }
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
        }
    }

    /** Reads a body as the head frames it; a response without a length ends with the channel. */
    static byte[] readBody(InputStream in, Head head, boolean isResponse) throws IOException {
        if (head.field("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            return readChunks(in);
        }
        String length = head.field("Content-Length");
        if (!length.isEmpty()) {
            int size = Integer.parseInt(length);
            byte[] body = in.readNBytes(size);
            if (body.length < size) {
                throw new EOFException("the channel ended within a body: " + body.length + " of " + size + " bytes");
            }
            return body;
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the channel ended between chunks");
            }
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("the channel ended within a chunk");
            }
            body.write(chunk);
            String end = readLine(in);
            if (end == null) {
                throw new EOFException("the channel ended after a chunk");
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the channel ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
        }
    }

    /** Returns the bytes of a message. */
    static byte[] message(String startLine, List<String> fields, byte[] body) {
        List<String> lines = new ArrayList<>();
        lines.add(startLine);
        lines.addAll(fields);
        byte[] head = (String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head);
        all.writeBytes(body);
        return all.toByteArray();
    }
}
