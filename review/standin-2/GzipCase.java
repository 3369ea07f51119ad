package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.GZIPOutputStream;

/** Servers that compress long answers if, and only if, the request accepts it; no client does. */
final class GzipCase {
    private static final int CHANNELS = 20;
    private static final int MIN_COMPRESSED_BYTES = 1_000;

    private static volatile boolean compresses;
    private static final AtomicInteger asked = new AtomicInteger();

    /** Server with short and long answers. */
    private static final class CompressingServer extends Server {
        CompressingServer(Lab lab, String id, String zone) throws IOException {
            super(lab, id, "booking", zone, 3, 0);
        }

        @Override
        void handle(Http.Head head, InputStream in, Socket socket) throws IOException {
            Http.readBody(in, head);
            String request = head.header(Wire.REQUEST);
            String accepted = head.header("Accept-Encoding");
            lab.record("server %s runs %s, which accepts encodings '%s'", id, request, accepted);
            byte[] body = ("answer to " + request + (head.target().endsWith("/long") ? " x".repeat(1_000) : ""))
                    .getBytes(StandardCharsets.ISO_8859_1);
            String encoding = "";
            if (accepted.contains("gzip")) {
                asked.incrementAndGet();
                if (compresses && body.length >= MIN_COMPRESSED_BYTES) {
                    encoding = "Content-Encoding: gzip\r\n";
                    body = gzip(body);
                }
            }
            OutputStream out = socket.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\n" + success(request) + encoding + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        private static byte[] gzip(byte[] body) throws IOException {
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
                gzip.write(body);
            }
            return compressed.toByteArray();
        }
    }

    public static void main(String[] arguments) {
        Lab.run(arguments, GzipCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        compresses = trouble;
        String zones = "{\"z1\":\"north\",\"z2\":\"north\"}";
        Lab.Entry entry = lab.entry("edge-z1-1", "north", "z1", zones, 6);
        for (int i = 0; i < 4; i++) {
            lab.list(new CompressingServer(lab, "i-" + i, i % 2 == 0 ? "z1" : "z2"));
        }
        lab.store.put("op", "config", Lab.config(
                1, List.of(Lab.route("r", "/book/", "unsafe", "booking", 2, 2)), List.of("booking")));
        lab.startAll();
        Thread.sleep(5_000);

        int kept = 0;
        int lost = 0;
        for (int i = 0; i < CHANNELS; i++) {
            try (Client client = new Client(entry.front)) {
                Client.Answer first = call(lab, client, "/book/short", "short-" + i);
                if (!first.isSuccess()) {
                    continue;
                }
                kept++;
                Client.Answer second = call(lab, client, "/book/long", "long-" + i);
                lost += second.status() == 0 ? 1 : 0;
            }
        }
        lab.report("requests that asked a server for gzip, though their client had not: %d", asked.get());
        lab.report("kept channels: %d; closed without a whole answer to a request that had run: %d", kept, lost);
        if (kept < CHANNELS / 2) {
            throw new IllegalStateException("few channels were kept");
        }
        return lost <= 3;
    }

    private static Client.Answer call(Lab lab, Client client, String path, String request) throws IOException {
        client.send("POST", path, request, 3_000, 0);
        Client.Answer answer = client.receive(request, 3_000);
        String text = answer.text();
        lab.record(
                "client gets for %s: %d %s",
                request, answer.status(), text.substring(0, Math.min(60, text.length())));
        return answer;
    }
}
