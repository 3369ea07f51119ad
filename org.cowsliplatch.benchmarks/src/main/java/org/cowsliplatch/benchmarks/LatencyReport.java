package org.cowsliplatch.benchmarks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.BackendServer;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.table.Route;
import org.cowsliplatch.table.Tables;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * Measures what an entry instance adds to the latency of a look-up over loopback, against direct calls in the same run.
 *
 * <p>Requests are sent at a fixed rate and timed from when each was due, so waits behind slow ones count.
 */
public final class LatencyReport {
    private static final int PER_SECOND = 500;
    private static final int WARM_UP_S = 8;
    private static final int MEASURE_S = 10;
    private static final int ROUNDS = 3;
    private static final int SERVICE_MS = 5;
    private static final int BACKENDS = 6;
    private static final long HIGHEST_MICROS = 60_000_000L;

    private LatencyReport() {}

    /** Prints the report. */
    public static void main(String[] args) throws Exception {
        MemoryPlatform platform = MemoryPlatform.create();
        List<BackendServer> backends = new ArrayList<>();
        HttpClient http = new HttpClient();
        http.setMaxConnectionsPerDestination(256);
        http.start();
        try (EntryInstance entry = EntryInstance.start(settings(), platform.services())) {
            for (int i = 0; i < BACKENDS; i++) {
                BackendServer backend = new BackendServer("s", "s-" + i, "r", "z");
                backend.serviceMs(SERVICE_MS);
                backends.add(backend);
                platform.instances().put(backend.instance());
            }
            apply(platform);
            while (http.GET(uri(Addresses.text(entry.callerAddress()))).getStatus() != 200) {
                Thread.sleep(20);
            }
            List<String> direct = backends.stream().map(BackendServer::address).toList();
            List<String> through = List.of(Addresses.text(entry.callerAddress()));
            load(http, direct, WARM_UP_S);
            load(http, through, WARM_UP_S);
            System.out.printf(
                    "%d requests/s, service %d ms, %d s a round; times in us%n", PER_SECOND, SERVICE_MS, MEASURE_S);
            for (int round = 0; round < ROUNDS; round++) {
                print(load(http, direct, MEASURE_S), load(http, through, MEASURE_S));
            }
        } finally {
            backends.forEach(BackendServer::close);
            LifeCycle.stop(http);
        }
    }

    private static void print(Histogram direct, Histogram through) {
        for (double percentile : new double[] {50, 99}) {
            long a = direct.getValueAtPercentile(percentile);
            long b = through.getValueAtPercentile(percentile);
            System.out.printf(
                    Locale.ROOT,
                    "p%.0f: direct %d, through an entry instance %d, ratio %.2f%n",
                    percentile,
                    a,
                    b,
                    (double) b / a);
        }
    }

    private static URI uri(String address) {
        return URI.create("http://" + address + "/a/1");
    }

    private static Histogram load(HttpClient http, List<String> addresses, int seconds) throws InterruptedException {
        ConcurrentHistogram micros = new ConcurrentHistogram(HIGHEST_MICROS, 3);
        int count = PER_SECOND * seconds;
        CountDownLatch left = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * (TimeUnit.SECONDS.toNanos(1) / PER_SECOND);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            http.newRequest(uri(addresses.get(i % addresses.size()))).send(result -> {
                if (result.isFailed() || result.getResponse().getStatus() != 200) {
                    System.out.println("failed: " + result);
                }
                micros.recordValue((System.nanoTime() - due) / 1_000);
                left.countDown();
            });
        }
        left.await();
        return micros;
    }

    private static void apply(MemoryPlatform platform) throws Exception {
        Route route = new Route("a", "*", "/a", Set.of("GET"), Rank.LOOKUP, true, "p", Duration.ofSeconds(5));
        Pool pool = new Pool("p", "s", 3, new TreeMap<>(Map.of("r", 1)), Duration.ZERO, 1_000);
        Tables tables = Tables.of(List.of(route), List.of(pool));
        new TableEditor(platform.tables(), platform.objects(), InstantSource.system())
                .apply(new TableEdit("latency-report", "bench", 0, tables));
    }

    private static Settings settings() {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        URI nowhere = URI.create("http://127.0.0.1:9");
        return new Settings(
                "bench",
                "entry-1",
                "r",
                "z",
                new Settings.Listen(any, any, any),
                new TreeMap<>(Map.of("r", List.of("z"))),
                List.of(),
                new Settings.Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                new Settings.Platform(nowhere, nowhere, nowhere, nowhere, "cowsliplatch", Duration.ofSeconds(1)),
                12,
                List.of(),
                new Settings.Admin("", Optional.empty()),
                new Settings.Telemetry("error", Optional.empty()),
                new Settings.Limits(8_192, 1_000_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(5)));
    }
}
