package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment: the store, servers, and entry instances as processes started as the deploy file says. */
final class Lab implements AutoCloseable {
    /** The rule held. */
    static final int HELD = 0;
    /** The rule was broken. */
    static final int BROKEN = 1;
    /** The case could not run. */
    static final int NOT_RUN = 2;

    /** A case; returns whether the rule held. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    /** An entry instance as a process. */
    final class Entry {
        final String name;
        final String front;
        final String ready;
        final String peer;
        private final Path settings;
        private final Path log;
        Process process;

        Entry(String name, String region, String zone, String zones, double grace, String storeAddress)
                throws IOException {
            this.name = name;
            front = "127.0.0.1:" + freePort();
            ready = "127.0.0.1:" + freePort();
            peer = "127.0.0.1:" + freePort();
            settings = dir.resolve(name + ".json");
            log = dir.resolve(name + ".log");
            Files.writeString(settings, """
                    {"instance": {"name": "%s", "region": "%s", "zone": "%s"}, "zones": %s,
                     "listen": {"caller": "%s", "ready": "%s", "directory": "127.0.0.1:%d", "peer": "%s",
                                "metrics": "127.0.0.1:%d"},
                     "store": "%s", "stopSeconds": %s, "repeats": {"perRequest": 0.2, "slack": 62}}
                    """.formatted(
                            name, region, zone, zones, front, ready, freePort(), peer, freePort(), storeAddress,
                            grace));
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(Arrays.asList(deployed("run").split(" ")));
            command.set(command.size() - 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put(
                    "COWSLIPLATCH_SET",
                    "bounds.configurationSeconds=2.5 bounds.leavingSeconds=2.5 bounds.contactSeconds=4");
            process = builder.start();
            record("entry %s starts", name);
        }

        /** Sends a signal. */
        void signal(String signal) throws IOException, InterruptedException {
            record("entry %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            record("entry %s gets SIGKILL", name);
            process.destroyForcibly().waitFor();
        }

        boolean isReady() {
            return Client.call(ready, "GET", Wire.READY, "ready", 1_000).status() == 200;
        }

        List<String> log() throws IOException {
            return Files.readAllLines(log, StandardCharsets.ISO_8859_1);
        }
    }

    final Path root;
    final Path dir;
    final Store store;
    final List<Server> servers = new ArrayList<>();
    final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    private Lab(Path caseDir) throws IOException {
        root = caseDir.toAbsolutePath().getParent().getParent();
        dir = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(caseDir.resolve("record.txt")));
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killEntries));
    }

    private void killEntries() {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
            }
        }
    }

    /** Runs a case in its folder, the first argument; ends the process with the result. */
    static void run(String[] arguments, Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = NOT_RUN;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            try {
                result = body.run(lab, trouble) ? HELD : BROKEN;
                lab.record("result: %s, trouble %s", result == HELD ? "the rule held" : "the rule was broken", trouble);
            } catch (Exception e) {
                lab.record("could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    synchronized void record(String format, Object... arguments) {
        String line = String.format(
                Locale.ROOT,
                "%8.3f  %s",
                (System.nanoTime() - startNanos) / 1e9,
                String.format(Locale.ROOT, format, arguments));
        record.println(line);
        record.flush();
    }

    /** Records a line that is also printed. */
    void report(String format, Object... arguments) {
        record(format, arguments);
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }

    Server server(String id, String service, String zone, int slots, long workMs) throws IOException {
        return list(new Server(this, id, service, zone, slots, workMs));
    }

    Server list(Server server) {
        servers.add(server);
        store.put("servers", server.id, server.row("ready", 1));
        return server;
    }

    Entry entry(String name, String region, String zone, String zones, double grace) throws IOException {
        return entry(name, region, zone, zones, grace, store.address());
    }

    Entry entry(String name, String region, String zone, String zones, double grace, String storeAddress)
            throws IOException {
        Entry entry = new Entry(name, region, zone, zones, grace, storeAddress);
        entries.add(entry);
        return entry;
    }

    void startAll() throws Exception {
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            await("entry " + entry.name + " is ready", 30, entry::isReady);
        }
        record("all entries are ready");
    }

    void await(String what, int seconds, BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not within " + seconds + " s: " + what);
            }
            Thread.sleep(25);
        }
    }

    private String deployed(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith(key + " = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    /** Returns a port below those that the system gives to outgoing connections, which could take it meanwhile. */
    static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: try another one.
            }
        }
        throw new IOException("no free port found");
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String route(String name, String prefix, String kind, String service, double timeout, int attempts) {
        return Wire.format("row.route", name, prefix, kind, timeout, timeout, service, attempts);
    }

    static String config(int version, List<String> routes, List<String> services) {
        List<String> texts = services.stream()
                .map(service -> Wire.format("row.service", service))
                .toList();
        return Wire.format("row.config", version, String.join(",", routes), String.join(",", texts));
    }

    @Override
    public void close() throws Exception {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly().waitFor();
            }
        }
        for (Server server : servers) {
            server.close();
        }
        store.close();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(dir)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.out.println("kept " + dir);
        }
    }
}
