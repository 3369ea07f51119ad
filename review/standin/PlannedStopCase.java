package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * SIGTERM of one of two machines while bookings come at a steady rate. A client that keeps the directory's answer for
 * three times its time to live, as PROTOCOL.md allows, goes on to send to the machine that is stopping.
 */
final class PlannedStopCase extends Case {
    /** Time from the SIGTERM to the SIGKILL. */
    private static final double GRACE_S = 6;
    /**
     * A cut request does not count if it was sent no later than this after the SIGTERM and runs in the last sixth of
     * that time: 3 s, and a margin for the time until the signal is sent.
     */
    private static final double EXCUSED_SENT_S = 3.05;
    /** The stopping machine must have answered by then, since it is killed then. */
    private static final double ANSWERED_BY_S = 5.9;

    private static final long WORK_MS = 2_450;
    private static final int TIME_LIMIT_MS = 5_000;
    private static final double TIMEOUT_S = 3;
    private static final long INTERVAL_MS = 50;
    private static final long SENDING_BEFORE_MS = 1_000;
    private static final long SENDING_AFTER_MS = 3_600;
    private static final int ENDPOINTS = 24;

    public static void main(String[] args) {
        Case.main(new PlannedStopCase(), args);
    }

    @Override
    boolean play() throws Exception {
        List<EndpointStandIn> endpoints = new ArrayList<>();
        ConcurrentLinkedQueue<Caller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        try (StoreStandIn store = new StoreStandIn();
                Deployment deployment =
                        new Deployment(root, Map.of("lom-a", "lombardia"), GRACE_S, recorder)) {
            store.put(
                    "op",
                    "config",
                    configuration(
                            1,
                            List.of(route("reserve", "/reserve/", "unsafe", TIMEOUT_S, 1, "prenota", true)),
                            List.of(service("prenota", 3, 4.5))));
            for (int i = 0; i < ENDPOINTS; i++) {
                EndpointStandIn endpoint = new EndpointStandIn("i-" + i, "prenota", "lom-a", 3, WORK_MS, recorder);
                endpoints.add(endpoint);
                list(store, endpoint, "ready", 0);
            }
            Deployment.Entry stopping = deployment.add("edge-1", "lom-a", store.port());
            Deployment.Entry staying = deployment.add("edge-2", "lom-a", store.port());
            deployment.start(stopping);
            deployment.start(staying);
            deployment.awaitReady();
            Threads.sleepMs(2_000);

            List<Thread> callers = new ArrayList<>();
            long begin = System.nanoTime();
            long termNanos = 0;
            for (int i = 0; i * INTERVAL_MS < SENDING_BEFORE_MS + SENDING_AFTER_MS; i++) {
                Threads.sleepUntil(begin + i * INTERVAL_MS * 1_000_000);
                if (termNanos == 0 && i * INTERVAL_MS >= SENDING_BEFORE_MS) {
                    termNanos = System.nanoTime();
                    if (trouble) {
                        deployment.signal(stopping, "TERM");
                    }
                }
                String path = "/reserve/" + i;
                callers.add(Threads.start("caller", () -> outcomes.add(Caller.send(
                        recorder, stopping.front, "POST", path, "a.example", path, TIME_LIMIT_MS, new byte[200]))));
            }
            for (Thread caller : callers) {
                caller.join(TIME_LIMIT_MS + 2_000);
            }
            return check(outcomes, endpoints, termNanos);
        } finally {
            closeAll(endpoints);
        }
    }

    private boolean check(
            ConcurrentLinkedQueue<Caller.Outcome> outcomes, List<EndpointStandIn> endpoints, long termNanos) {
        Map<String, Long> ran = new java.util.HashMap<>();
        endpoints.forEach(endpoint -> endpoint.runs.forEach(run -> ran.put(run.requestId(), run.arrivedNanos())));
        int answered = 0;
        int refused = 0;
        int excused = 0;
        int lost = 0;
        for (Caller.Outcome outcome : outcomes) {
            boolean hasRun = ran.containsKey(outcome.requestId());
            double sentS = seconds(outcome.sentNanos() - termNanos);
            double endS = seconds(outcome.endNanos() - termNanos);
            boolean isWhole = outcome.status() == 200 && !outcome.signature().isEmpty();
            if (isWhole) {
                answered++;
            } else if (!hasRun) {
                refused++;
            } else if (sentS <= EXCUSED_SENT_S || endS > ANSWERED_BY_S) {
                excused++;
            } else {
                lost++;
                recorder.note(String.format(
                        java.util.Locale.ROOT,
                        "lost: %s, sent %.3f s after the SIGTERM, at work at its endpoint, ended %.3f s after it: %s",
                        outcome.requestId(),
                        sentS,
                        endS,
                        outcome.status() == 0 ? outcome.detail() : "status " + outcome.status()));
            }
        }
        recorder.note("answered " + answered + ", not run " + refused + ", cut and excused " + excused + ", lost " + lost);
        if (answered == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return lost == 0;
    }
}
