package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Client with one channel. */
final class Client implements AutoCloseable {
    /** What the client got: a status, or 0 and what ended the channel instead. */
    record Answer(String request, int status, String text, long ms) {
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    Client(String address) throws IOException {
        String[] parts = address.split(":");
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
        in = Http.buffered(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String method, String path, String request, int deadlineMs, int bodyBytes) throws IOException {
        String length = bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "";
        sendHead(method, path, request, deadlineMs, length);
        if (bodyBytes > 0) {
            out.write(new byte[bodyBytes]);
            out.flush();
        }
    }

    void sendHead(String method, String path, String request, int deadlineMs, String more) throws IOException {
        write((method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" + Wire.REQUEST + ": " + request + "\r\n"
                        + Wire.DEADLINE + ": " + deadlineMs + "\r\n" + more + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    Answer receive(String request, int timeoutMs) {
        long start = System.nanoTime();
        try {
            socket.setSoTimeout(timeoutMs);
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return answer(request, 0, "channel closed", start);
            }
            byte[] body = Http.readBody(in, head);
            return answer(request, head.status(), new String(body, StandardCharsets.ISO_8859_1), start);
        } catch (SocketTimeoutException e) {
            return answer(request, 0, "no answer", start);
        } catch (IOException e) {
            return answer(request, 0, String.valueOf(e.getMessage()), start);
        }
    }

    private static Answer answer(String request, int status, String text, long start) {
        return new Answer(request, status, text, (System.nanoTime() - start) / 1_000_000);
    }

    /** Sends one request on a channel of its own and waits for the answer within the client's time limit. */
    static Answer call(String address, String method, String path, String request, int deadlineMs) {
        long start = System.nanoTime();
        try (Client client = new Client(address)) {
            client.send(method, path, request, deadlineMs, 0);
            Answer answer = client.receive(request, deadlineMs);
            return answer(request, answer.status(), answer.text(), start);
        } catch (IOException e) {
            return answer(request, 0, String.valueOf(e.getMessage()), start);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
