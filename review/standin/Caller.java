package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client: one request on a new channel, without retries. */
final class Caller {
    /**
     * How a request ended.
     *
     * @param status status, or 0 if there was no complete answer
     * @param detail body of the answer, or how the channel ended
     */
    record Outcome(String requestId, int status, String detail, String signature, long sentNanos, long endNanos) {
        boolean isAnswered() {
            return status != 0;
        }
    }

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_RECORDED_CHARACTERS = 200;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private Caller() {}

    static String newId() {
        return String.format("q%05d", NEXT.incrementAndGet());
    }

    static Outcome send(
            Recorder recorder, int port, String method, String path, String host, String object, int limitMs, byte[] body) {
        String id = newId();
        long sent = System.nanoTime();
        recorder.line("sent", "caller", id, method + " " + path + " to port " + port);
        Outcome outcome = exchange(port, id, method, path, host, object, limitMs, body, sent);
        recorder.line(
                "ended",
                "caller",
                id,
                (outcome.isAnswered() ? "status " + outcome.status() : "no answer") + ", "
                        + outcome.detail().substring(0, Math.min(MAX_RECORDED_CHARACTERS, outcome.detail().length())));
        return outcome;
    }

    private static Outcome exchange(
            int port, String id, String method, String path, String host, String object, int limitMs, byte[] body, long sent) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(limitMs);
            List<String> fields = new java.util.ArrayList<>(List.of(
                    "Host: " + host,
                    Wire.REQUEST_ID + ": " + id,
                    Wire.DEADLINE + ": " + limitMs,
                    "Cookie: " + Wire.OBJECT_COOKIE + "=" + object));
            if (!method.equals("GET")) {
                fields.add("Content-Length: " + body.length);
            }
            socket.getOutputStream().write(Http.message(method + " " + path + " HTTP/1.1", fields, body));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return new Outcome(id, 0, "the channel was closed without an answer", "", sent, System.nanoTime());
            }
            byte[] answer = Http.readBody(in, head, true);
            return new Outcome(
                    id,
                    head.status(),
                    new String(answer, StandardCharsets.UTF_8).strip(),
                    head.field(Wire.SIGNATURE),
                    sent,
                    System.nanoTime());
        } catch (SocketTimeoutException e) {
            return new Outcome(id, 0, "the time limit passed", "", sent, System.nanoTime());
        } catch (IOException e) {
            return new Outcome(id, 0, "the channel failed: " + e.getMessage(), "", sent, System.nanoTime());
        }
    }
}
