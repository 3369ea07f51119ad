package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    /** A message without its body; header names are in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private Http() {}

    /** Reads a head; returns null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("head cut off");
        }
        return new Head(startLine, headers);
    }

    /** Reads the body of a request, or of a response that has a length or chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("chunk cut off");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut off after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("line cut off");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }
}
