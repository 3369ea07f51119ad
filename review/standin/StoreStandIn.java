package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store of rows: rows-get, rows-feed and rows-tx, with one counter of versions and its whole history. */
final class StoreStandIn implements AutoCloseable {
    private record Change(String table, String key, long version, String base64) {}

    private static final Pattern FIELD = Pattern.compile("\"(Table|Key|Value)\"\\s*:\\s*\"([^\"]*)\"");

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Change>> tables = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Integer> feedsAnswered = new HashMap<>();
    private final Map<String, Integer> feedsBegun = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private long version;
    private boolean closed;

    StoreStandIn() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("store-accept", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes a row, as the operator or an endpoint does; returns when the store acknowledges it. */
    synchronized long put(String table, String key, String text) {
        String base64 = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        return change(table, key, base64);
    }

    synchronized long remove(String table, String key) {
        return change(table, key, null);
    }

    /** Returns how many feeds of a table have been asked for so far. */
    synchronized int feedsBegun(String table) {
        return feedsBegun.getOrDefault(table, 0);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        listener.close();
    }

    private long change(String table, String key, String base64) {
        Change change = new Change(table, key, ++version, base64);
        TreeMap<String, Change> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (base64 == null) {
            rows.remove(key);
        } else {
            rows.put(key, change);
        }
        history.add(change);
        notifyAll();
        return version;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("store", () -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            while (head != null) {
                byte[] body = Http.readBody(in, head, false);
                String[] target = head.part(1).split("\\?", 2);
                Map<String, String> query = query(target.length > 1 ? target[1] : "");
                String answer;
                int status = 200;
                if (target[0].equals(Wire.text("call.get"))) {
                    answer = get(query);
                } else if (target[0].equals(Wire.text("call.feed"))) {
                    answer = feed(query);
                } else if (target[0].equals(Wire.text("call.write"))) {
                    answer = write(new String(body, StandardCharsets.UTF_8));
                } else {
                    status = 404;
                    answer = "{}";
                }
                byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(Http.message(
                                "HTTP/1.1 " + status + (status == 200 ? " OK" : " Not Found"),
                                List.of("Content-Type: application/json", "Content-Length: " + bytes.length),
                                bytes));
                head = Http.readHead(in);
            }
        } catch (IOException | InterruptedException e) {
            // The caller closed the channel, or the stand-in is closing.
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String get(Map<String, String> query) {
        List<String> rows = new ArrayList<>();
        for (Change change : tables.getOrDefault(query.get("Table"), new TreeMap<>())
                .tailMap(query.getOrDefault("From", ""), true)
                .values()) {
            rows.add(row(change));
        }
        return "{\"Rows\":[" + String.join(",", rows) + "],\"" + Wire.text("get.more") + "\":false," + end() + "}";
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("Table");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault(Wire.text("feed.wait"), "0")) * 1_000_000;
        feedsBegun.merge(table, 1, Integer::sum);
        while (true) {
            List<String> rows = new ArrayList<>();
            for (Change change : history) {
                if (change.version() > after && change.table().equals(table)) {
                    rows.add(row(change));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMs <= 0 || closed) {
                feedsAnswered.merge(table, 1, Integer::sum);
                return "{\"Rows\":[" + String.join(",", rows) + "]," + end() + "}";
            }
            wait(leftMs);
        }
    }

    private synchronized String write(String transaction) {
        int put = transaction.indexOf("\"Put\"");
        int remove = transaction.indexOf("\"Remove\"");
        String section = remove > put ? transaction.substring(put, remove) : transaction.substring(put);
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(section);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(2));
            if (fields.size() == 3) {
                change(fields.get("Table"), fields.get("Key"), fields.get("Value"));
                fields.clear();
            }
        }
        return "{" + end() + "}";
    }

    private String end() {
        double now = (System.nanoTime() - startNanos) / 1e9;
        return "\"Ver\":" + version + ",\"NowS\":" + String.format(java.util.Locale.ROOT, "%.3f", now);
    }

    private static String row(Change change) {
        String start = "{\"Table\":\"" + change.table() + "\",\"part\":\"\",\"Key\":\"" + change.key() + "\",\"Ver\":"
                + change.version();
        return change.base64() == null
                ? start + ",\"Removed\":true}"
                : start + ",\"Value\":\"" + change.base64() + "\"}";
    }
}
