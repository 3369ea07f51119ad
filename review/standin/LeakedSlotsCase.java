package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * All machines but one are killed at the same moment while all slots are in use, and start again after a short delay.
 * A quarter of the requests or more must be served later than RecoveryS after the machines are back.
 */
final class LeakedSlotsCase extends Case {
    private static final double RECOVERY_S = 15;
    private static final double GRACE_S = 6;
    private static final int MACHINES = 4;
    /** The machine that is not killed: with these names, the one that grants the slots of the service. */
    private static final int SPARED = 2;

    private static final int ENDPOINTS = 4;
    private static final long WORK_MS = 840;
    private static final int TIME_LIMIT_MS = 4_000;
    private static final long INTERVAL_MS = 50;
    private static final long DOWN_MS = 100;
    private static final long MEASURED_MS = 10_000;

    private volatile boolean sending = true;

    public static void main(String[] args) {
        Case.main(new LeakedSlotsCase(), args);
    }

    @Override
    boolean play() throws Exception {
        List<EndpointStandIn> endpoints = new ArrayList<>();
        ConcurrentLinkedQueue<Caller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        try (StoreStandIn store = new StoreStandIn();
                Deployment deployment =
                        new Deployment(root, Map.of("sv-uppsala", "svealand"), GRACE_S, recorder)) {
            store.put(
                    "op",
                    "config",
                    configuration(
                            1,
                            List.of(route("book", "/book/", "unsafe", 2.5, 1.2, "bokning", true)),
                            List.of(service("bokning", 3, 3.4))));
            for (int i = 0; i < ENDPOINTS; i++) {
                EndpointStandIn endpoint = new EndpointStandIn("i-" + i, "bokning", "sv-uppsala", 3, WORK_MS, recorder);
                endpoints.add(endpoint);
                list(store, endpoint, "ready", 0);
            }
            for (int i = 1; i <= MACHINES; i++) {
                deployment.start(deployment.add("edge-" + i, "sv-uppsala", store.port()));
            }
            deployment.awaitReady();
            Threads.sleepMs(2_000);
            Thread load = Threads.start("load", () -> sendLoad(deployment, outcomes));
            long begin = System.nanoTime();
            Threads.sleepMs(6_000);
            long fault = System.nanoTime();
            if (trouble) {
                List<Deployment.Entry> killed = new ArrayList<>(deployment.entries);
                killed.remove(SPARED - 1);
                for (Deployment.Entry entry : killed) {
                    deployment.signal(entry, "KILL");
                }
                Threads.sleepMs(DOWN_MS);
                for (Deployment.Entry entry : killed) {
                    deployment.start(entry);
                }
            }
            deployment.awaitReady();
            long back = System.nanoTime();
            recorder.note(String.format(Locale.ROOT, "machines back after %.1f s", seconds(back - fault)));
            Threads.sleepMs((long) (RECOVERY_S * 1e3) + MEASURED_MS);
            sending = false;
            load.join();
            Threads.sleepMs(TIME_LIMIT_MS);
            double before = served(outcomes, begin + 2_000_000_000L, fault);
            double after = served(outcomes, back + (long) (RECOVERY_S * 1e9), Long.MAX_VALUE);
            recorder.note(String.format(
                    Locale.ROOT,
                    "served before the fault: %.0f %%, later than RecoveryS after the machines were back: %.0f %%",
                    before * 100,
                    after * 100));
            if (before < 0.25) {
                throw new IllegalStateException("less than a quarter was served before the fault");
            }
            return after >= 0.25;
        } finally {
            closeAll(endpoints);
        }
    }

    private void sendLoad(Deployment deployment, ConcurrentLinkedQueue<Caller.Outcome> outcomes) {
        long begin = System.nanoTime();
        for (int i = 0; sending; i++) {
            Threads.sleepUntil(begin + i * INTERVAL_MS * 1_000_000);
            String path = "/book/" + i;
            String object = Integer.toString(i % 25);
            Deployment.Entry entry = deployment.entries.get(i % MACHINES);
            Threads.start("caller", () -> outcomes.add(Caller.send(
                    recorder, entry.front, "POST", path, "a.example", object, TIME_LIMIT_MS, new byte[100])));
        }
    }

    private static double served(ConcurrentLinkedQueue<Caller.Outcome> outcomes, long from, long until) {
        int sent = 0;
        int served = 0;
        for (Caller.Outcome outcome : outcomes) {
            if (outcome.sentNanos() >= from && outcome.sentNanos() < until) {
                sent++;
                served += outcome.status() == 200 ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : (double) served / sent;
    }
}
