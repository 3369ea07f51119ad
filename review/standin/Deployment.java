package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Entry instances as processes, started with the command of the deploy file and the settings template. */
final class Deployment implements AutoCloseable {
    private static final long READY_WAIT_MS = 30_000;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}");

    /** One machine and its process. */
    static final class Entry {
        final String name;
        final String zone;
        final int front;
        final int ready;
        final int directory;
        final int peer;
        final int metrics;
        final int storePort;
        Process process;

        Entry(String name, String zone, int storePort) throws IOException {
            this.name = name;
            this.zone = zone;
            this.storePort = storePort;
            List<Integer> ports = freePorts(5);
            front = ports.get(0);
            ready = ports.get(1);
            directory = ports.get(2);
            peer = ports.get(3);
            metrics = ports.get(4);
        }
    }

    private final Path root;
    private final Path folder;
    private final Map<String, String> regionOfZone;
    private final double graceS;
    private final Recorder recorder;
    final List<Entry> entries = new ArrayList<>();

    Deployment(Path root, Map<String, String> regionOfZone, double graceS, Recorder recorder) throws IOException {
        this.root = root;
        this.regionOfZone = new TreeMap<>(regionOfZone);
        this.graceS = graceS;
        this.recorder = recorder;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    Entry add(String name, String zone, int storePort) throws IOException {
        Entry entry = new Entry(name, zone, storePort);
        entries.add(entry);
        return entry;
    }

    /** Starts the process of a machine. */
    void start(Entry entry) throws IOException {
        Path settings = folder.resolve(entry.name + ".conf");
        Files.writeString(settings, settings(entry));
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals(Wire.text("settings.file")) ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("COWSLIPLATCH_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(entry.name + ".log").toFile()));
        entry.process = builder.start();
        recorder.line("start", entry.name, "-", "process started");
    }

    /** Waits until the platform's check finds all machines ready. */
    void awaitReady() {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WAIT_MS);
        for (Entry entry : entries) {
            while (!isReady(entry)) {
                if (System.nanoTime() > until) {
                    throw new IllegalStateException(entry.name + " is not ready; its log: " + folder);
                }
                Threads.sleepMs(50);
            }
        }
    }

    /** Returns whether a machine accepts channels of clients. */
    static boolean accepts(Entry entry) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entry.front), 1_000);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static boolean isReady(Entry entry) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entry.ready), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(Http.message(
                            "GET " + Wire.text("call.ready") + " HTTP/1.1",
                            List.of("Host: ready", "Connection: close"),
                            new byte[0]));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this case started. */
    void signal(Entry entry, String name) throws IOException {
        recorder.line("signal", entry.name, "-", name);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(entry.process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the folder with the logs of the processes. */
    Path folder() {
        return folder;
    }

    private void endProcesses() {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Entry entry : entries) {
            try {
                if (entry.process != null) {
                    entry.process.waitFor();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("the logs of the processes are kept in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private String settings(Entry entry) throws IOException {
        List<String> zones = new ArrayList<>();
        regionOfZone.forEach((zone, region) -> zones.add("\"" + zone + "\":\"" + region + "\""));
        Map<String, String> fields = Map.ofEntries(
                Map.entry("Node", entry.name),
                Map.entry("Zone", entry.zone),
                Map.entry("Region", regionOfZone.get(entry.zone)),
                Map.entry("Zones", "{" + String.join(",", zones) + "}"),
                Map.entry("Ip", "127.0.0.1"),
                Map.entry("Listen.Front", "127.0.0.1:" + entry.front),
                Map.entry("Listen.Ready", "127.0.0.1:" + entry.ready),
                Map.entry("Listen.Directory", "127.0.0.1:" + entry.directory),
                Map.entry(Wire.text("settings.peerPort"), Integer.toString(entry.peer)),
                Map.entry(Wire.text("settings.metricsPort"), Integer.toString(entry.metrics)),
                Map.entry("Platform.Address", "127.0.0.1:" + entry.storePort),
                Map.entry(Wire.text("settings.grace"), Double.toString(graceS)),
                Map.entry("Bounds.RetryBudgetRatio", "0.2"),
                Map.entry("Bounds.BudgetSlack", "64"));
        String template =
                Files.readString(root.resolve("platform/settings.json.template"), StandardCharsets.UTF_8);
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            String value = fields.get(matcher.group(1));
            if (value == null) {
                throw new IOException("the settings template names an unknown field: " + matcher.group(1));
            }
            boolean quoted = matcher.group(2) != null && !value.startsWith("{");
            matcher.appendReplacement(text, Matcher.quoteReplacement(quoted ? "\"" + value + "\"" : value));
        }
        matcher.appendTail(text);
        return text.toString();
    }

    /** Returns free ports below those that systems give to outgoing connections. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        int port = nextPort;
        while (ports.size() < count) {
            port = port >= 30_000 ? 12_000 : port + 1;
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(probe.getLocalPort());
            } catch (IOException e) {
                // The port is in use; the next one is tried.
            }
        }
        nextPort = port;
        return ports;
    }

    private static int nextPort = 12_000 + (int) (ProcessHandle.current().pid() * 37 % 17_000);
}
