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
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import org.HdrHistogram.Histogram;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.errors.CowsliplatchException;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerCodec;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.steer.AddressSiteMap;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.table.Route;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;

/** Measures the slopes that docs/CAPACITY.md is worked out from. */
public final class CapacityReport {
    private static final int BLOCKS = 1_900_000;
    private static final int SITES = 260;
    private static final int LOOK_UPS = 2_000_000;
    private static final int DECISIONS = 400_000;
    private static final int SETTLE_S = 4;
    private static final int MEASURE_S = 10;

    private CapacityReport() {}

    /** Prints the report. */
    public static void main(String[] args) throws CowsliplatchException, InterruptedException {
        blocks();
        lookUps();
        decisions();
        messages();
        cluster(6);
        System.out.println("the run above warms up; those below count");
        for (int entries : new int[] {3, 6, 12, 24}) {
            cluster(entries);
        }
    }

    private static void blocks() {
        SplittableRandom random = new SplittableRandom(42);
        int[] starts = new int[BLOCKS];
        short[] sites = new short[BLOCKS];
        for (int i = 0; i < BLOCKS; i++) {
            starts[i] = (int) (i * (0xffff_ffffL / BLOCKS));
            sites[i] = (short) random.nextInt(SITES);
        }
        AddressSiteMap blocks = AddressSiteMap.of(starts, sites);
        long sum = 0;
        long seconds = 0;
        for (int round = 0; round < 2; round++) {
            long before = System.nanoTime();
            for (int i = 0; i < LOOK_UPS; i++) {
                sum += blocks.site(random.nextInt()).orElse(0);
            }
            seconds = System.nanoTime() - before;
        }
        long before = System.nanoTime();
        AddressSiteMap changed = blocks.with(new int[] {1, 2, 3}, new short[] {1, 2, 3});
        double updateMs = (System.nanoTime() - before) / 1e6;
        print(
                "client blocks: %d, %.1f bytes each; %.0f ns a look-up; %.2f ms an update of the view (%d, %d)",
                BLOCKS,
                (double) blocks.bytes() / BLOCKS,
                (double) seconds / LOOK_UPS,
                updateMs,
                sum & 1,
                changed.size());
    }

    private static void lookUps() {
        for (int entries : new int[] {12, 100, 1_100}) {
            List<Member> members = members(entries);
            Pool pool = pool();
            Route route = new Route("r", "*", "/a", Set.of("GET"), Rank.LOOKUP, true, "p", Duration.ofSeconds(2));
            SteeringView view = SteeringView.empty()
                    .with(new TableVersion(1, Tables.of(List.of(route), List.of(pool))), 0)
                    .with(members);
            EntryLookup lookup =
                    new EntryLookup(Duration.ofSeconds(5), InstantSource.system(), () -> ThreadLocalRandom.current()
                            .nextDouble());
            int rounds = 600_000 / entries;
            Histogram nanos = new Histogram(10_000_000_000L, 3);
            long bytes = 0;
            for (int round = 0; round < 2; round++) {
                nanos.reset();
                for (int i = 0; i < rounds; i++) {
                    long before = System.nanoTime();
                    bytes = Json.bytes(lookup.answer(route, pool, view)).length;
                    nanos.recordValue(System.nanoTime() - before);
                }
            }
            print(
                    "look-up answer, %d entry instances: mean %.1f us, p99 %.1f us, %d bytes; %.0f a second and core",
                    entries, nanos.getMean() / 1e3, nanos.getValueAtPercentile(99) / 1e3, bytes, 1e9 / nanos.getMean());
        }
    }

    private static void decisions() {
        for (int endpoints : new int[] {20, 200, 2_000}) {
            SlotGrantor grantor = new SlotGrantor(pool(), Ticker.system(), new SplittableRandom(1));
            List<ListedEndpoint> listed = new ArrayList<>();
            for (int i = 0; i < endpoints; i++) {
                listed.add(ListedEndpoint.active(new Endpoint("e" + i, "", "", i % 2 == 0 ? "a" : "b")));
            }
            grantor.updateEndpoints(listed);
            Histogram nanos = new Histogram(10_000_000_000L, 3);
            for (int round = 0; round < 3; round++) {
                nanos.reset();
                for (int i = 0; i < DECISIONS; i++) {
                    long before = System.nanoTime();
                    SlotRequest ask = new SlotRequest(
                            "h", i, "a", before, SlotRequest.Requirements.of(Rank.LOOKUP, before + 1_000_000_000L));
                    grantor.request(ask);
                    nanos.recordValue(System.nanoTime() - before);
                    grantor.release("h", i, SlotOutcome.ANSWERED);
                }
            }
            print(
                    "slot decision, %d endpoints: p50 %d ns, p99 %d ns",
                    endpoints, nanos.getValueAtPercentile(50), nanos.getValueAtPercentile(99));
        }
    }

    private static void messages() {
        GroupId group = new GroupId("bookings", "svealand");
        Member member = members(1).get(0);
        Endpoint endpoint = new Endpoint("booking-12-3f9a", "10.20.30.40:8080", "svealand", "svealand-a");
        List<PeerMessage.GroupReport> loads =
                List.of(new PeerMessage.GroupReport(group, new GroupLoad(36, 10, 26, 3), 18));
        print(
                "bytes of messages: slot ask %d, granted %d, release %d; heartbeat without description %d, with %d",
                size(new PeerMessage.SlotAsk(
                        group,
                        1L << 60,
                        "svealand-a",
                        100_000,
                        SlotRequest.Requirements.of(Rank.URGENT, 3_000_000_000L))),
                size(new PeerMessage.SlotGranted(group, 1L << 60, endpoint)),
                size(new PeerMessage.SlotRelease(group, 1L << 60, SlotOutcome.ANSWERED)),
                PeerCodec.encodeHeartbeatWithoutMember(loads).build().getSerializedSize() + 3,
                size(new PeerMessage.Heartbeat(member, loads)));
    }

    private static int size(PeerMessage message) {
        return PeerCodec.encode(message).getSerializedSize() + 1;
    }

    /** Runs entry instances in this process and measures what they send and how a change spreads. */
    private static void cluster(int count) throws CowsliplatchException, InterruptedException {
        MemoryPlatform platform = MemoryPlatform.create();
        List<EntryInstance> entries = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                List<InetSocketAddress> seeds =
                        entries.isEmpty() ? List.of() : List.of(entries.get(0).peerAddress());
                EntryInstance entry = EntryInstance.start(settings("entry-" + i, seeds), platform.services());
                entries.add(entry);
                platform.instances()
                        .put(new Instance(
                                "cowsliplatch",
                                "entry-" + i,
                                Addresses.text(entry.peerAddress()),
                                "svealand",
                                "svealand-a",
                                false));
            }
            TableEditor editor = new TableEditor(platform.tables(), platform.objects(), InstantSource.system());
            TableChange change = apply(editor, 0, 1);
            awaitVersion(entries, 1);
            Thread.sleep(SETTLE_S * 1_000L);
            long bytes = sent(entries);
            long reads = platform.tables().reads();
            long cpu = processCpuNanos();
            Thread.sleep(MEASURE_S * 1_000L);
            double bytesPerSecond = (double) (sent(entries) - bytes) / MEASURE_S / count;
            double readsPerSecond = (double) (platform.tables().reads() - reads) / MEASURE_S;
            double cores = (processCpuNanos() - cpu) / 1e9 / MEASURE_S / count;
            long slowest = 0;
            for (int i = 2; i <= 6; i++) {
                apply(editor, i - 1, i);
                long before = System.nanoTime();
                awaitVersion(entries, i);
                slowest = Math.max(slowest, System.nanoTime() - before);
            }
            print(
                    "%d entry instances: %.0f bytes/s sent each, %.2f %% of a core each, %.1f store reads/s in all;"
                            + " change in force after at most %.0f ms (5 changes, %d bytes each)",
                    count,
                    bytesPerSecond,
                    cores * 100,
                    readsPerSecond,
                    slowest / 1e6,
                    TableCodec.text(change).length());
        } finally {
            entries.forEach(EntryInstance::close);
        }
    }

    private static TableChange apply(TableEditor editor, long base, int timeoutS) throws CowsliplatchException {
        Route route = new Route("r", "*", "/a", Set.of("GET"), Rank.LOOKUP, true, "p", Duration.ofSeconds(timeoutS));
        Tables tables = Tables.of(List.of(route), List.of(pool()));
        return editor.apply(new TableEdit(UUID.randomUUID().toString(), "bench", base, tables));
    }

    private static void awaitVersion(List<EntryInstance> entries, long version) throws InterruptedException {
        while (!entries.stream().allMatch(entry -> entry.tableVersion() >= version)) {
            Thread.sleep(1);
        }
    }

    private static long sent(List<EntryInstance> entries) {
        return entries.stream().mapToLong(EntryInstance::peerBytesSent).sum();
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        java.lang.management.ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static Settings settings(String name, List<InetSocketAddress> seeds) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        URI nowhere = URI.create("http://127.0.0.1:9");
        return new Settings(
                "bench",
                name,
                "svealand",
                "svealand-a",
                new Settings.Listen(any, any, any),
                new TreeMap<>(Map.of("svealand", List.of("svealand-a"))),
                List.of(),
                new Settings.Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                new Settings.Platform(nowhere, nowhere, nowhere, nowhere, "cowsliplatch", Duration.ofSeconds(1)),
                24,
                seeds,
                new Settings.Admin("", Optional.empty()),
                new Settings.Telemetry("error", Optional.empty()),
                new Settings.Limits(8_192, 1_000_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(5)));
    }

    private static Pool pool() {
        return new Pool(
                "p", "s", 3, new TreeMap<>(Map.of("svealand", 50, "gotaland", 50)), Duration.ofSeconds(10), 10_000);
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(
                    "entry-svealand-" + i,
                    "0123456789abcdef",
                    i % 2 == 0 ? "svealand" : "gotaland",
                    "svealand-a",
                    "10.20.30.40:8080",
                    "10.20.30.40:8081",
                    "10.20.30.40:8082",
                    MemberPhase.ACTIVE,
                    1,
                    "0".repeat(64),
                    "entry-svealand-1~0123456789abcdef~1f~AbCdEfGhIjKl",
                    List.of(),
                    List.of()));
        }
        return members;
    }

    private static void print(String format, Object... args) {
        System.out.printf(Locale.ROOT, format + "%n", args);
    }
}
