package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowsliplatch.internal.link.LinkId;
import org.cowsliplatch.internal.link.LinkLease;
import org.cowsliplatch.internal.link.LinkLeases;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.link.LinkShares;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.MemoryTableService;
import org.junit.jupiter.api.Test;

/** Checks that traffic between regions stays under the cap despite outages of the store and paused lease holders. */
final class LinkTest {
    private static final long CAP_BITS = 4_000_000_000L;
    private static final LinkId LINK = new LinkId("svealand", "gotaland");
    private static final int ENTRIES = 12;
    private static final long STEP_MS = 5;
    private static final int CHUNK_BYTES = 32 * 1024;

    private final ManualTicker ticker = new ManualTicker();
    private final MemoryTableService store = new MemoryTableService();

    private static Settings settings(int number) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        URI nowhere = URI.create("http://127.0.0.1:9");
        TreeMap<String, List<String>> regions = new TreeMap<>();
        regions.put("svealand", List.of("svealand-a"));
        regions.put("gotaland", List.of("gotaland-a"));
        return new Settings(
                "test",
                "entry-" + number,
                "svealand",
                "svealand-a",
                new Settings.Listen(any, any, any),
                regions,
                List.of(new Settings.Link("svealand", "gotaland", CAP_BITS)),
                new Settings.Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                new Settings.Platform(nowhere, nowhere, nowhere, nowhere, "cowsliplatch", Duration.ofSeconds(1)),
                ENTRIES,
                List.of(),
                new Settings.Admin("", Optional.empty()),
                new Settings.Telemetry("error", Optional.empty()),
                new Settings.Limits(8192, 1, 1, Duration.ofSeconds(5), Duration.ofSeconds(5)));
    }

    /** An entry instance that sends bytes as fast as its pacer allows. */
    private final class Sender {
        final LinkLeases leases;
        final LinkPacer pacer;
        long nextNanos;
        long stepNanos;
        boolean paused;
        boolean idle;

        Sender(int number) {
            Settings settings = settings(number);
            SplittableRandom random = new SplittableRandom(number);
            leases = new LinkLeases(settings, store, "entry-" + number + "~0", ticker, random);
            pacer = new LinkPacer(settings, ticker, leases::units);
            stepNanos = ticker.nanos() + random.nextLong(3_000_000_000L);
        }

        long send() {
            long now = ticker.nanos();
            if (paused) {
                return 0;
            }
            if (now >= stepNanos) {
                leases.step(pacer);
                stepNanos = now + leases.nextDelayMs() * 1_000_000;
            }
            long sent = 0;
            while (!idle && nextNanos <= now) {
                long delay = pacer.charge(LINK, CHUNK_BYTES);
                nextNanos = Math.max(nextNanos, now) + delay;
                sent += CHUNK_BYTES;
            }
            return sent;
        }
    }

    private List<Sender> senders() {
        List<Sender> senders = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            senders.add(new Sender(i));
        }
        return senders;
    }

    /** Runs the senders for some seconds; returns the bytes sent in each second. */
    private List<Long> run(List<Sender> senders, int seconds) {
        List<Long> bytes = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            long sum = 0;
            for (long at = 0; at < 1_000; at += STEP_MS) {
                for (Sender sender : senders) {
                    sum += sender.send();
                }
                ticker.advanceMs(STEP_MS);
            }
            bytes.add(sum);
        }
        return bytes;
    }

    private static void assertUnderCap(List<Long> bytes) {
        for (long second : bytes) {
            assertWithMessage("bits in a second").that(second * 8).isAtMost(CAP_BITS);
        }
    }

    private static double usedShare(List<Long> bytes, int from) {
        return bytes.subList(from, bytes.size()).stream()
                        .mapToLong(b -> b)
                        .average()
                        .orElse(0)
                * 8
                / CAP_BITS;
    }

    @Test
    void twelveBusyEntriesUseAtLeast90PercentOfTheCap() {
        List<Long> bytes = run(senders(), 60);

        assertUnderCap(bytes);
        assertThat(usedShare(bytes, 40)).isAtLeast(0.90);
    }

    @Test
    void oneBusyEntryUsesAtLeast80PercentOfTheCap() {
        List<Sender> senders = senders();
        senders.subList(1, ENTRIES).forEach(sender -> sender.idle = true);

        List<Long> bytes = run(senders, 60);

        assertUnderCap(bytes);
        assertThat(usedShare(bytes, 40)).isAtLeast(0.80);
    }

    @Test
    void shiftOfDemandToOthersNeverExceedsTheCap() {
        List<Sender> senders = senders();
        senders.subList(1, ENTRIES).forEach(sender -> sender.idle = true);
        List<Long> bytes = new ArrayList<>(run(senders, 30));
        senders.forEach(sender -> sender.idle = !sender.idle);
        bytes.addAll(run(senders, 60));

        assertUnderCap(bytes);
        assertThat(usedShare(bytes, 75)).isAtLeast(0.80);
    }

    @Test
    void pausedHolderAndLostResponsesNeverExceedTheCap() {
        List<Sender> senders = senders();
        List<Long> bytes = new ArrayList<>(run(senders, 30));
        senders.get(0).paused = true;
        bytes.addAll(run(senders, 40));
        senders.get(0).paused = false;
        bytes.addAll(run(senders, 5));
        store.faults().loseAnswers(60);
        bytes.addAll(run(senders, 40));

        assertUnderCap(bytes);
    }

    @Test
    void storeOutageLeavesOnlyTheStaticShares() {
        List<Sender> senders = senders();
        run(senders, 30);
        store.faults().away(true);
        List<Long> bytes = run(senders, 40);

        assertUnderCap(bytes);
        assertThat(usedShare(bytes, 20)).isAtLeast(LinkShares.STATIC_SHARE * 0.9);
        assertThat(usedShare(bytes, 20)).isAtMost(LinkShares.STATIC_SHARE * 1.1);
        store.faults().away(false);
        List<Long> after = run(senders, 40);
        assertUnderCap(after);
        assertThat(usedShare(after, 30)).isAtLeast(0.90);
    }

    @Property(tries = 200, seed = "42")
    void holdersNeverExceedTheNumberOfUnits(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LinkLease> leases = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            leases.add(new LinkLease(store, LINK, "holder-" + i, ticker));
        }
        for (int step = 0; step < 200; step++) {
            switch (random.nextInt(8)) {
                case 0 -> store.faults().loseAnswers(random.nextInt(3));
                case 1 -> store.faults().failNext(random.nextInt(3));
                case 2 -> ticker.advanceMs(random.nextInt(15_000));
                default -> {
                    ticker.advanceMs(random.nextInt(1_500));
                    leases.get(random.nextInt(leases.size())).step(random.nextInt(LinkShares.UNITS + 1));
                }
            }
            int sum = leases.stream().mapToInt(LinkLease::units).sum();
            assertThat(sum).isAtMost(LinkShares.UNITS);
        }
    }
}
