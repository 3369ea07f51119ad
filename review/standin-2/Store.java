package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: rows, feed and transactions without conditions. */
final class Store implements AutoCloseable {
    record Row(String table, String key, byte[] value, long version) {}

    private static final Pattern ENTRY =
            Pattern.compile("\\{[^{}]*\"Key\":\"([^\"]*)\"[^{}]*\\}");
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":\"([^\"]*)\"");

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long version = 100;
    private long era = 1;
    private volatile boolean away;
    private volatile boolean closed;

    /** The store as of one moment. */
    record Copy(Map<String, TreeMap<String, Row>> tables, List<Row> history, long version) {}

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon("store", () -> accept(server, () -> false));
    }

    /** Opens a second address, whose clients are turned away with 503 while a condition holds. */
    String open(BooleanSupplier turnsAway) throws IOException {
        ServerSocket gate = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon("store-gate", () -> accept(gate, turnsAway));
        return "127.0.0.1:" + gate.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized long put(String table, String key, String value) {
        return write(table, key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long remove(String table, String key) {
        return write(table, key, null);
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, Row>> copied = new HashMap<>();
        tables.forEach((name, rows) -> copied.put(name, new TreeMap<>(rows)));
        return new Copy(copied, List.copyOf(history), version);
    }

    /** Closes all channels and resets new ones, until the store comes back from a copy. */
    void leave() throws IOException {
        away = true;
        for (Socket socket : open) {
            socket.close();
        }
    }

    synchronized void comeBack(Copy copy) {
        tables.clear();
        tables.putAll(copy.tables());
        history.clear();
        history.addAll(copy.history());
        version = copy.version();
        era++;
        away = false;
    }

    synchronized long version() {
        return version;
    }

    private long write(String table, String key, byte[] value) {
        version++;
        Row row = new Row(table, key, value, version);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
        return version;
    }

    private void accept(ServerSocket listener, BooleanSupplier turnsAway) {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                if (away) {
                    open.remove(socket);
                    socket.close();
                    continue;
                }
                Lab.daemon("store-connection", () -> serve(socket, turnsAway));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, BooleanSupplier turnsAway) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                String body = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
                Answer answered = turnsAway.getAsBoolean()
                        ? new Answer("503 Service Unavailable", "{}", era)
                        : answer(head, body);
                byte[] answer = answered.body().getBytes(StandardCharsets.UTF_8);
                if (away) {
                    return;
                }
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 " + answered.status() + "\r\nContent-Type: application/json\r\nStore-Era: "
                                + answered.era() + "\r\nContent-Length: " + answer.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(answer);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        } finally {
            open.remove(socket);
        }
    }

    private record Answer(String status, String body, long era) {}

    private synchronized Answer ok(String body) {
        return new Answer("200 OK", body, era);
    }

    private Answer answer(Http.Head head, String body) throws InterruptedException {
        String target = head.target();
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> parameters = new HashMap<>();
        if (question >= 0) {
            for (String pair : target.substring(question + 1).split("&")) {
                int equals = pair.indexOf('=');
                parameters.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals(Wire.GET)) {
            return ok(get(parameters));
        }
        if (path.equals(Wire.FEED)) {
            return feed(parameters);
        }
        return ok(path.equals(Wire.WRITE) ? transact(body) : "{}");
    }

    private synchronized String get(Map<String, String> parameters) {
        String from = parameters.getOrDefault("From", "");
        List<Row> rows = new ArrayList<>(
                tables.getOrDefault(parameters.get("Table"), new TreeMap<>()).tailMap(from).values());
        return Wire.format("answer.rows", json(rows), version, now());
    }

    private synchronized Answer feed(Map<String, String> parameters) throws InterruptedException {
        long after = Long.parseLong(parameters.get("after"));
        long end = System.nanoTime() + Long.parseLong(parameters.getOrDefault(Wire.WAIT, "0")) * 1_000_000;
        if (after > version) {
            return new Answer("410 Gone", "{}", era);
        }
        List<Row> changed = changes(parameters.get("Table"), after);
        while (changed.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            changed = changes(parameters.get("Table"), after);
        }
        return ok(Wire.format("answer.rows", json(changed), version, now()));
    }

    private List<Row> changes(String table, long after) {
        return history.stream()
                .filter(row -> row.table.equals(table) && row.version > after)
                .toList();
    }

    private synchronized String transact(String body) {
        int removals = body.indexOf("\"Remove\":");
        Matcher entries = ENTRY.matcher(body);
        while (entries.find()) {
            Map<String, String> fields = new HashMap<>();
            Matcher matcher = FIELD.matcher(entries.group());
            while (matcher.find()) {
                fields.put(matcher.group(1), matcher.group(2));
            }
            boolean isPut = fields.containsKey("Value");
            if (isPut) {
                write(fields.get("Table"), fields.get("Key"), Base64.getDecoder().decode(fields.get("Value")));
            } else if (removals >= 0 && entries.start() > removals) {
                write(fields.get("Table"), fields.get("Key"), null);
            }
        }
        return "{\"Ver\":" + version + ",\"NowS\":" + now() + "}";
    }

    private static String json(List<Row> rows) {
        StringBuilder text = new StringBuilder("[");
        for (Row row : rows) {
            text.append(text.length() > 1 ? "," : "")
                    .append("{\"Table\":\"").append(row.table)
                    .append("\",\"part\":\"\",\"Key\":\"").append(row.key)
                    .append("\",\"Ver\":").append(row.version);
            if (row.value == null) {
                text.append(",\"Removed\":true}");
            } else {
                text.append(",\"Value\":\"").append(Base64.getEncoder().encodeToString(row.value)).append("\"}");
            }
        }
        return text.append("]").toString();
    }

    private static double now() {
        return System.nanoTime() / 1_000_000 / 1000.0;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
