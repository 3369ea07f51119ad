package org.cowsliplatch.benchmarks;

import java.util.Locale;
import org.cowsliplatch.table.Rank;

/** Prints the ways of sharing slots side by side; the same figures every run. */
public final class SlotSharingReport {
    private static final long SEED = 42;
    private static final int SECONDS = 120;
    private static final double[] LOADS = {0.5, 0.8, 0.95, 3.0};

    private SlotSharingReport() {}

    /** Prints the report. */
    public static void main(String[] args) {
        System.out.printf(
                "seed %d, %d s of virtual time, %d entry instances, %d endpoints of %d slots%n%n",
                SEED, SECONDS, SlotScenario.ENTRIES, SlotScenario.ENDPOINTS, SlotScenario.SLOTS);
        System.out.println("| load | way | p99 wait ms: all | urgent | lookup | upload | refused | most at one endpoint"
                + " | goodput | extra attempts |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (double load : LOADS) {
            for (SharingWay way : SharingWay.values()) {
                print(load, way, SlotScenario.RITAGLI_MESSAGE_NANOS);
            }
            System.out.print("with messages of 0.5 ms: ");
            print(load, SharingWay.GRANTED, SlotScenario.NORDVIK_MESSAGE_NANOS);
        }
        floods();
    }

    private static void print(double load, SharingWay way, long messageNanos) {
        SlotScenario.Figures figures = SlotScenario.run(way, Load.mixed(load), SECONDS, messageNanos, SEED);
        Tally tally = figures.tally();
        System.out.printf(
                Locale.ROOT,
                "| %.0f %% | %s | %.1f | %.1f | %.1f | %.1f | %d | %d | %.1f %% | %d |%n",
                load * 100,
                way.text(),
                tally.p99WaitMs(),
                tally.p99WaitMs(Rank.URGENT),
                tally.p99WaitMs(Rank.LOOKUP),
                tally.p99WaitMs(Rank.UPLOAD),
                tally.refused(),
                figures.mostOutstanding(),
                figures.goodput() * 100,
                tally.extraAttempts());
    }

    private static void floods() {
        System.out.printf(
                "%n| flood, granted slots | urgent p99 ms | urgent refused | urgent | lookup | upload | goodput |%n");
        System.out.println("|---|---|---|---|---|---|---|");
        flood("none: 30 % urgent, 40 % lookup, 10 % upload", new Load(0.3, 0.4, 0.1));
        flood("uploads at 10x", new Load(0.3, 0.4, 10));
        flood("look-ups at 5x", new Load(0.3, 5, 0.1));
        flood("bookings at 5x", new Load(5, 0.4, 0.1));
        flood("bookings at 5x, others over their floors", new Load(5, 1, 1));
    }

    private static void flood(String name, Load load) {
        SlotScenario.Figures figures =
                SlotScenario.run(SharingWay.GRANTED, load, SECONDS, SlotScenario.RITAGLI_MESSAGE_NANOS, SEED);
        Tally tally = figures.tally();
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f | %d | %.1f %% | %.1f %% | %.1f %% | %.1f %% |%n",
                name,
                tally.p99WaitMs(Rank.URGENT),
                tally.refused(Rank.URGENT),
                share(tally, Rank.URGENT),
                share(tally, Rank.LOOKUP),
                share(tally, Rank.UPLOAD),
                figures.goodput() * 100);
    }

    /** Returns the answers of a rank in time, in percent of what the slots can do. */
    static double share(Tally tally, Rank rank) {
        double capacity = SECONDS * SlotScenario.ENDPOINTS * SlotScenario.SLOTS * 1e9 / SlotScenario.MEAN_SERVICE_NANOS;
        return tally.inTime(rank) * 100 / capacity;
    }
}
