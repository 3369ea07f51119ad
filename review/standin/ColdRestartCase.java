package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The machines of a region and its endpoints lose power together and come back together. The endpoints are cold for
 * a few seconds; all machines together must keep within the bound of FAILBACK for each of them.
 */
final class ColdRestartCase extends Case {
    private static final double COLD_START_S = 3;
    /** Time before the end of the cold start that is not checked, since the endpoints start before they are listed. */
    private static final double MARGIN_S = 0.1;

    private static final double COLD_PER_S = 3.4;
    private static final double COLD_OVER = 1.5;
    private static final double COLD_SLACK = 8;
    private static final double GRACE_S = 6;
    private static final int MACHINES = 8;
    private static final int ENDPOINTS = 4;
    private static final long INTERVAL_MS = 10;
    private static final long DOWN_MS = 1_200;
    private static final long WORK_MS = 640;
    private static final int TIME_LIMIT_MS = 3_000;

    private volatile boolean sending = true;

    public static void main(String[] args) {
        Case.main(new ColdRestartCase(), args);
    }

    @Override
    boolean play() throws Exception {
        List<EndpointStandIn> endpoints = new ArrayList<>();
        List<EndpointStandIn> cold = new ArrayList<>();
        ConcurrentLinkedQueue<Caller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        try (StoreStandIn store = new StoreStandIn();
                Deployment deployment =
                        new Deployment(root, Map.of("gt-malmo", "gotaland"), GRACE_S, recorder)) {
            store.put(
                    "op",
                    "config",
                    configuration(
                            1,
                            List.of(route("status", "/status/", "safe", 1.2, 0.4, "arendeinfo", true)),
                            List.of(service("arendeinfo", COLD_START_S, COLD_PER_S))));
            for (int i = 0; i < ENDPOINTS; i++) {
                endpoints.add(join(store, "i-" + i, 0));
            }
            for (int i = 1; i <= MACHINES; i++) {
                deployment.start(deployment.add("edge-" + i, "gt-malmo", store.port()));
            }
            deployment.awaitReady();
            Threads.sleepMs(2_000);
            Thread load = Threads.start("load", () -> sendLoad(deployment, outcomes));
            Threads.sleepMs(3_000);
            for (EndpointStandIn endpoint : endpoints) {
                endpoint.close();
                store.remove("servers", endpoint.id);
            }
            if (trouble) {
                for (Deployment.Entry entry : deployment.entries) {
                    deployment.signal(entry, "KILL");
                }
            }
            Threads.sleepMs(DOWN_MS);
            if (trouble) {
                for (Deployment.Entry entry : deployment.entries) {
                    deployment.start(entry);
                }
            }
            while (!deployment.entries.stream().anyMatch(Deployment::accepts)) {
                Threads.sleepMs(10);
            }
            for (int i = 0; i < ENDPOINTS; i++) {
                cold.add(join(store, "j-" + i, COLD_START_S));
            }
            long coldUntil = System.nanoTime() + (long) ((COLD_START_S - MARGIN_S) * 1e9);
            Threads.sleepMs(6_000);
            sending = false;
            load.join();
            return check(outcomes, cold, coldUntil);
        } finally {
            closeAll(endpoints);
            closeAll(cold);
        }
    }

    private EndpointStandIn join(StoreStandIn store, String id, double coldS) throws java.io.IOException {
        // A cold endpoint works half as fast.
        long workMs = coldS > 0 ? 2 * WORK_MS : WORK_MS;
        EndpointStandIn endpoint = new EndpointStandIn(id, "arendeinfo", "gt-malmo", 3, workMs, recorder);
        list(store, endpoint, "ready", coldS);
        return endpoint;
    }

    private void sendLoad(Deployment deployment, ConcurrentLinkedQueue<Caller.Outcome> outcomes) {
        long begin = System.nanoTime();
        for (int i = 0; sending; i++) {
            Threads.sleepUntil(begin + i * INTERVAL_MS * 1_000_000);
            String path = "/status/" + i;
            String object = Integer.toString(i % 31);
            Deployment.Entry entry = deployment.entries.get(i % MACHINES);
            Threads.start("caller", () -> outcomes.add(Caller.send(
                    recorder, entry.front, "GET", path, "a.example", object, TIME_LIMIT_MS, new byte[0])));
        }
    }

    private boolean check(ConcurrentLinkedQueue<Caller.Outcome> outcomes, List<EndpointStandIn> cold, long coldUntil) {
        double bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
        boolean held = true;
        for (EndpointStandIn endpoint : cold) {
            List<Long> times = new ArrayList<>();
            endpoint.arrivals.forEach(at -> {
                if (at < coldUntil) {
                    times.add(at);
                }
            });
            times.sort(null);
            int most = 0;
            for (int first = 0; first < times.size(); first++) {
                int last = first;
                while (last < times.size() && times.get(last) - times.get(first) < 1_000_000_000L) {
                    last++;
                }
                most = Math.max(most, last - first);
            }
            recorder.note(String.format(
                    Locale.ROOT,
                    "%s got %d requests within one second while cold, bound %.1f",
                    endpoint.id,
                    most,
                    bound));
            held &= most <= bound;
        }
        long answered = outcomes.stream().filter(outcome -> outcome.status() == 200).count();
        recorder.note("sent " + outcomes.size() + ", answered " + answered);
        if (answered == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return held;
    }
}
