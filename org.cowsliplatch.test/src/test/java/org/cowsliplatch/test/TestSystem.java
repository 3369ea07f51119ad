package org.cowsliplatch.test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.table.TableReader;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.BackendServer;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.table.RawRow;
import org.cowsliplatch.table.TableFiles;
import org.cowsliplatch.table.TableParser;
import org.cowsliplatch.table.Tables;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.component.LifeCycle;

/** Entry instances, backend servers and the platform in this process, over loopback sockets. */
public final class TestSystem implements AutoCloseable {
    /** Token of the administration API. */
    public static final String TOKEN = "test-token-test-token";
    /** Host name of all routes. */
    public static final String HOST = "api.nordvik.example";

    private static final String REGION = "svealand";
    private static final List<String> ZONES = List.of("svealand-a", "svealand-b");
    private static final String ROUTE_HEADING = "name,host,path,methods,rank,idempotent,pool,timeout\n";
    private static final String POOL_HEADING = "name,service,slots,regions,ramp,queue\n";

    private final MemoryPlatform platform = MemoryPlatform.create();
    private final List<EntryInstance> entries = new ArrayList<>();
    private final List<BackendServer> backends = new ArrayList<>();
    private final HttpClient http = new HttpClient();
    private final Duration lookupTtl;

    /** Starts a system without entry instances. */
    public TestSystem() throws Exception {
        this(Duration.ofMillis(300));
    }

    /** Starts a system without entry instances, whose look-up answers are good for a time. */
    public TestSystem(Duration lookupTtl) throws Exception {
        this.lookupTtl = lookupTtl;
        http.setMaxConnectionsPerDestination(256);
        http.start();
    }

    /** Returns the platform. */
    public MemoryPlatform platform() {
        return platform;
    }

    /** Returns the HTTP client of callers. */
    public HttpClient http() {
        return http;
    }

    /** Starts a backend server and lists it. */
    public BackendServer backend(String service, int number) throws IOException {
        BackendServer backend =
                new BackendServer(service, service + "-" + number, REGION, ZONES.get(number % ZONES.size()));
        backends.add(backend);
        platform.instances().put(backend.instance());
        return backend;
    }

    /** Lists a backend server as a new instance under another address, such as that of a relay. */
    public void relist(BackendServer backend, String address) {
        Instance known = backend.instance();
        platform.instances().remove(known.id());
        platform.instances()
                .put(new Instance(
                        known.service(), known.id() + "-relayed", address, known.region(), known.zone(), false));
    }

    /** Returns the entry instances, oldest first. */
    public List<EntryInstance> entries() {
        return List.copyOf(entries);
    }

    /** Starts an entry instance that knows the others. */
    public EntryInstance entry(String name) throws EntryStartException {
        List<InetSocketAddress> seeds =
                entries.stream().map(EntryInstance::peerAddress).toList();
        return start(name, seeds);
    }

    /** Starts an entry instance that knows one other. */
    public EntryInstance entryWithSeed(String name, EntryInstance seed) throws EntryStartException {
        return start(name, List.of(seed.peerAddress()));
    }

    private EntryInstance start(String name, List<InetSocketAddress> seeds) throws EntryStartException {
        EntryInstance entry = EntryInstance.start(settings(name, seeds), platform.services());
        entries.add(entry);
        return entry;
    }

    /** Returns the settings of an entry instance on free ports. */
    public Settings settings(String name, List<InetSocketAddress> seeds) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        URI nowhere = URI.create("http://127.0.0.1:9");
        TreeMap<String, List<String>> regions = new TreeMap<>();
        regions.put(REGION, ZONES);
        return new Settings(
                "test",
                name,
                REGION,
                ZONES.get(0),
                new Settings.Listen(any, any, any),
                regions,
                List.of(),
                new Settings.Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                new Settings.Platform(nowhere, nowhere, nowhere, nowhere, "cowsliplatch", Duration.ofSeconds(1)),
                12,
                seeds,
                new Settings.Admin(TOKEN, Optional.empty()),
                new Settings.Telemetry("error", Optional.empty()),
                new Settings.Limits(8 * 1024, 8L * 1024 * 1024, 8L * 1024 * 1024, lookupTtl, Duration.ofSeconds(15)));
    }

    /** Makes rows the next version and waits until it is in force everywhere. */
    public long apply(String routes, String pools) throws TableException {
        long base =
                new TableReader(platform.tables(), platform.objects()).head().version();
        TableEditor editor = new TableEditor(platform.tables(), platform.objects(), InstantSource.system());
        long version = editor.apply(new TableEdit(UUID.randomUUID().toString(), "test", base, tables(routes, pools)))
                .version();
        awaitInForce(version);
        return version;
    }

    /** Waits until a version is in force everywhere. */
    public void awaitInForce(long version) {
        Await.until("version " + version + " is in force", () -> entries.stream()
                .allMatch(entry -> entry.tableVersion() >= version));
    }

    /** Returns the tables in rows of CSV without headings. */
    public static Tables tables(String routes, String pools) throws TableException {
        List<RawRow> routeRows = TableFiles.rows(ROUTE_HEADING + routes, "routes");
        List<RawRow> poolRows = TableFiles.rows(POOL_HEADING + pools, "pools");
        return TableParser.parse(routeRows, poolRows, List.of(REGION));
    }

    /** Puts the usual three routes into force: /cases, /bookings and /memorials. */
    public void applyUsual(String timeout) throws TableException {
        String routes = """
                case-lookup,HOST,/cases,GET POST,lookup,yes,cases,TIMEOUT
                booking,HOST,/bookings,POST,urgent,no,bookings,TIMEOUT
                memorial,HOST,/memorials,PUT,upload,yes,memorials,10s
                """;
        String pools = """
                cases,case-lookup,3,svealand=100,0s,100
                bookings,booking,3,svealand=100,0s,100
                memorials,memorial-archive,3,svealand=100,0s,100
                """;
        apply(routes.replace("HOST", HOST).replace("TIMEOUT", timeout), pools);
    }

    /** Returns a request to an entry instance. */
    public Request request(EntryInstance entry, String method, String pathQuery) {
        return http.newRequest(URI.create("http://" + Addresses.text(entry.callerAddress()) + pathQuery))
                .method(method)
                .timeout(20, TimeUnit.SECONDS)
                .headers(headers -> headers.put("Host", HOST));
    }

    /** Sends a request and returns its answer. */
    public static ContentResponse send(Request request) {
        try {
            return request.send();
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("no answer to " + request.getURI(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }

    /** Waits until an entry instance serves a path. */
    public void awaitServed(EntryInstance entry, String path) {
        Await.until(path + " is served", () -> send(request(entry, "GET", path)).getStatus() == 200);
    }

    /** Waits until an entry instance has listed backend servers for a non-idempotent path. */
    public void awaitBookings(EntryInstance entry) {
        Await.until(
                "bookings are served",
                () -> send(request(entry, "POST", "/bookings")).getStatus() == 200);
    }

    /** Returns a client that follows the rules for callers. */
    public CallerClient caller() {
        return new CallerClient(
                http, entries.stream().map(EntryInstance::callerAddress).toList(), Duration.ofSeconds(5));
    }

    /** Returns the value of the outcome field of a problem answer. */
    public static String outcome(ContentResponse response) {
        String body = response.getContentAsString();
        int at = body.indexOf("\"outcome\":\"");
        return at < 0 ? "" : body.substring(at + 11, body.indexOf('"', at + 11));
    }

    @Override
    public void close() {
        entries.forEach(EntryInstance::close);
        backends.forEach(BackendServer::close);
        LifeCycle.stop(http);
    }
}
