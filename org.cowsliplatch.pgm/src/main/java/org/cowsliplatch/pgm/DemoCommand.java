package org.cowsliplatch.pgm;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.client.CallerException;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.internal.platform.HttpPlatform;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.BackendServer;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.standin.PlatformServer;
import org.cowsliplatch.table.TableFiles;
import org.cowsliplatch.table.TableParser;
import org.cowsliplatch.table.Tables;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;

/** Shows the whole path in one process, with stand-ins for the platform and the backend servers. */
final class DemoCommand extends Subcommand {
    private static final String HOST = "api.nordvik.example";
    private static final String TOKEN = "demo-token-demo-token";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int POLLS = 500;
    private static final long POLL_MS = 20;
    private static final int UPLOAD_BYTES = 1_000_000;
    private static final String ROUTES = """
            name,host,path,methods,rank,idempotent,pool,timeout
            case-lookup,api.nordvik.example,/cases,GET,lookup,yes,cases,2s
            booking,api.nordvik.example,/bookings,POST,urgent,no,bookings,2s
            memorial,api.nordvik.example,/memorials,PUT,upload,yes,memorials,10s
            """;
    private static final String POOLS = """
            name,service,slots,regions,ramp,queue
            cases,case-lookup,3,svealand=100,2s,500
            bookings,booking,3,svealand=100,2s,500
            memorials,memorial-archive,3,svealand=100,2s,500
            """;

    private int wrong;

    @Override
    String name() {
        return "demo";
    }

    @Override
    String summary() {
        return "Runs an entry instance with stand-ins, sends a few requests and tells what happened.";
    }

    @Override
    ExitCode run() throws CommandException {
        JsonLogs.install("error", System.err::println);
        MemoryPlatform memory = MemoryPlatform.create();
        List<BackendServer> backends = new ArrayList<>();
        try (PlatformServer server = new PlatformServer(memory)) {
            backends.addAll(startBackends(memory));
            Settings settings = settings(server.uri());
            try (HttpPlatform platform = HttpPlatform.start(settings.platform());
                    EntryInstance entry = EntryInstance.start(settings, platform.services())) {
                show(memory, backends, entry);
            }
        } catch (IOException | EntryStartException | CallerException | TablesInvalidException e) {
            throw new CommandException(ExitCode.INVALID, "the demo failed: " + e.getMessage(), e);
        } finally {
            backends.forEach(BackendServer::close);
        }
        print(wrong == 0 ? "All outcomes were right." : "%d outcomes were wrong.", wrong);
        return wrong == 0 ? ExitCode.OK : ExitCode.INVALID;
    }

    private static List<BackendServer> startBackends(MemoryPlatform memory) throws IOException {
        List<BackendServer> backends = new ArrayList<>();
        for (String service : List.of("case-lookup", "booking", "memorial-archive")) {
            for (int i = 1; i <= 3; i++) {
                String zone = i % 2 == 0 ? "svealand-b" : "svealand-a";
                backends.add(new BackendServer(service, service + "-" + i, "svealand", zone));
            }
        }
        backends.forEach(backend -> memory.instances().put(backend.instance()));
        return backends;
    }

    private static Settings settings(URI platform) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new Settings(
                "demo",
                "entry-1",
                "svealand",
                "svealand-a",
                new Settings.Listen(any, any, any),
                new TreeMap<>(Map.of("svealand", List.of("svealand-a", "svealand-b"))),
                List.of(),
                new Settings.Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                new Settings.Platform(platform, platform, platform, platform, "cowsliplatch", Duration.ofSeconds(1)),
                12,
                List.of(),
                new Settings.Admin(TOKEN, Optional.empty()),
                new Settings.Telemetry("error", Optional.empty()),
                new Settings.Limits(
                        16 * 1024,
                        64L * 1024 * 1024,
                        16L * 1024 * 1024,
                        Duration.ofMillis(500),
                        Duration.ofSeconds(10)));
    }

    private void show(MemoryPlatform memory, List<BackendServer> backends, EntryInstance entry)
            throws CommandException, CallerException, TablesInvalidException {
        applyTables(entry);
        HttpClient http = new HttpClient();
        try (CallerClient caller = new CallerClient(http, List.of(entry.callerAddress()), TIMEOUT)) {
            http.start();
            lookUp(caller);
            lookUpCases(caller);
            bookTwice(caller, backends);
            upload(caller, backends);
            drainBackend(memory, caller, backends);
            drainEntry(entry);
        } catch (CallerException | CommandException e) {
            throw e;
        } catch (Exception e) {
            throw new CommandException(ExitCode.INVALID, "the demo failed: " + e, e);
        } finally {
            LifeCycle.stop(http);
        }
    }

    private void applyTables(EntryInstance entry) throws CommandException, TablesInvalidException {
        Tables tables = TableParser.parse(
                TableFiles.rows(ROUTES, "routes"), TableFiles.rows(POOLS, "pools"), List.of("svealand"));
        URI admin = URI.create("http://" + Addresses.text(entry.adminAddress()));
        try (AdminClient client = new AdminClient(admin, TOKEN)) {
            AdminClient.Answer answer =
                    client.put("tables", TableCodec.document(tables), Map.of("If-Match", "\"0\"", "Author", "demo"));
            check(
                    "tables accepted as version " + answer.json().path("version") + answer.detail(),
                    answer.status() == 200);
        }
        check("the tables are in force", await(entry::isReady));
    }

    private void lookUp(CallerClient caller) throws CallerException {
        EntryLookup.Answer answer = caller.lookUp("case-lookup");
        boolean right =
                answer.entries().size() == 1 && answer.entries().get(0).name().equals("entry-1");
        check("look-up of route case-lookup names " + answer.entries().get(0).address(), right);
    }

    private void lookUpCases(CallerClient caller) throws CallerException {
        // The first list of backend servers may come a moment after the tables.
        boolean served = await(() -> {
            try {
                return caller.send(get("/cases/0")).status() == 200;
            } catch (CallerException e) {
                return false;
            }
        });
        check("a case look-up is answered", served);
        int right = 0;
        for (int i = 0; i < 20; i++) {
            String path = "/cases/" + i + "?part=urn";
            String body = text(caller.send(get(path)));
            if (body.contains(" GET " + path + " ")) {
                right++;
            }
        }
        check(right + " of 20 case look-ups got the answer to their own request", right == 20);
    }

    private void bookTwice(CallerClient caller, List<BackendServer> backends) throws CallerException {
        EntryLookup.Entry entry = caller.lookUp("booking").entries().get(0);
        String key = CallerClient.newKey(entry);
        CallerClient.Call call =
                new CallerClient.Call("booking", "POST", HOST, "/bookings", bytes("slot=14:30"), false);
        CallerClient.Reply first = caller.exchange(call, entry, key);
        CallerClient.Reply second = caller.exchange(call, entry, key);
        int runs = backends.stream().mapToInt(backend -> backend.runs(key)).sum();
        check("a booking sent twice with one key ran " + runs + " time", runs == 1);
        boolean same = text(first).equals(text(second)) && second.replayed();
        check("its second copy got the recorded answer", same);
    }

    private void upload(CallerClient caller, List<BackendServer> backends) throws CallerException {
        CallerClient.Reply reply = caller.send(
                new CallerClient.Call("memorial", "PUT", HOST, "/memorials/7/photo", new byte[UPLOAD_BYTES], true));
        long stored = backends.stream()
                .filter(backend -> backend.id().startsWith("memorial"))
                .mapToLong(BackendServer::bodyBytes)
                .sum();
        check("an upload of " + stored + " bytes arrived whole", reply.status() == 200 && stored == UPLOAD_BYTES);
    }

    private void drainBackend(MemoryPlatform memory, CallerClient caller, List<BackendServer> backends)
            throws CallerException, InterruptedException {
        BackendServer leaving = backends.get(0);
        memory.instances().leave(leaving.id());
        Thread.sleep(3_000);
        int before = leaving.runs();
        for (int i = 0; i < 30; i++) {
            caller.send(get("/cases/" + i));
        }
        int after = leaving.runs();
        check(
                "backend server " + leaving.id() + " got " + (after - before)
                        + " requests 3 s after it was told to leave",
                after == before);
    }

    private void drainEntry(EntryInstance entry) {
        var stopped = entry.drain();
        check("the entry instance came to a planned stop", await(stopped::isDone));
    }

    private void check(String what, boolean right) {
        print("%s %s", right ? "ok   " : "WRONG", what);
        if (!right) {
            wrong++;
        }
    }

    private static boolean await(BooleanSupplier condition) {
        for (int i = 0; i < POLLS; i++) {
            if (condition.getAsBoolean()) {
                return true;
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    private static CallerClient.Call get(String path) {
        return new CallerClient.Call("case-lookup", "GET", HOST, path, new byte[0], true);
    }

    private static String text(CallerClient.Reply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
