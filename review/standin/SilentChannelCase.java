package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * All open channels of the machines to the store go silent at one moment, while new ones work. Right after that two of
 * 13 endpoints report draining. Bookings that are sent once the machines are in touch again must not reach them.
 */
final class SilentChannelCase extends Case {
    /** How long after the reset of its channels a machine is out of touch, 3 s, and a margin. */
    private static final double CONTACT_S = 3.05;
    /** Time in which a leaving endpoint must get no more requests. */
    private static final double DRAIN_S = 2.5;

    private static final double GRACE_S = 6;
    /** The endpoint serves on for somewhat longer than that, then it exits. */
    private static final double EXIT_AFTER_S = 4.4;

    /** Share of the endpoints that leave at once: 2 of 13, as with scale_in of 0.15. */
    private static final int LEAVING = 2;

    private static final long WORK_MS = 840;
    private static final int TIME_LIMIT_MS = 4_000;
    private static final long INTERVAL_MS = 40;
    private static final long LASTING_MS = 7_000;

    public static void main(String[] args) {
        Case.main(new SilentChannelCase(), args);
    }

    @Override
    boolean play() throws Exception {
        List<EndpointStandIn> endpoints = new ArrayList<>();
        ConcurrentLinkedQueue<Caller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        try (StoreStandIn store = new StoreStandIn();
                SilenceProxy proxy = new SilenceProxy(store.port());
                Deployment deployment =
                        new Deployment(root, Map.of("sv-uppsala", "svealand"), GRACE_S, recorder)) {
            store.put(
                    "op",
                    "config",
                    configuration(
                            1,
                            List.of(route("book", "/book/", "unsafe", 2.5, 1.2, "bokning", true)),
                            List.of(service("bokning", 3, 3.4))));
            for (int i = 0; i < 12; i++) {
                EndpointStandIn endpoint = new EndpointStandIn("i-" + i, "bokning", "sv-uppsala", 3, WORK_MS, recorder);
                endpoints.add(endpoint);
                list(store, endpoint, "ready", 0);
            }
            for (int i = 1; i <= 2; i++) {
                deployment.start(deployment.add("edge-" + i, "sv-uppsala", proxy.port()));
            }
            deployment.awaitReady();
            Threads.sleepMs(3_000);

            // A change of the endpoint list, after which each machine asks for the next one.
            EndpointStandIn added = new EndpointStandIn("i-12", "bokning", "sv-uppsala", 3, WORK_MS, recorder);
            endpoints.add(added);
            int before = store.feedsBegun("servers");
            list(store, added, "ready", 0);
            while (store.feedsBegun("servers") < before + deployment.entries.size()) {
                Threads.sleepMs(5);
            }
            Threads.sleepMs(300);

            long silent = System.nanoTime();
            if (trouble) {
                recorder.note("channels to the store that went silent: " + proxy.silence());
            }
            Threads.sleepMs(100);
            List<EndpointStandIn> leaving = List.copyOf(endpoints.subList(0, LEAVING));
            for (EndpointStandIn endpoint : leaving) {
                list(store, endpoint, "draining", 0);
            }
            long ack = System.nanoTime();
            leaving.forEach(endpoint -> Threads.start("exit", () -> exit(endpoint, ack)));

            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i * INTERVAL_MS < LASTING_MS; i++) {
                Threads.sleepUntil(ack + i * INTERVAL_MS * 1_000_000);
                String path = "/book/" + i;
                String object = Integer.toString(i % 24);
                Deployment.Entry entry = deployment.entries.get(i % 2);
                callers.add(Threads.start("caller", () -> outcomes.add(Caller.send(
                        recorder, entry.front, "POST", path, "a.example", object, TIME_LIMIT_MS, new byte[100]))));
            }
            for (Thread caller : callers) {
                caller.join(TIME_LIMIT_MS + 2_000);
            }
            return check(outcomes, leaving, silent, ack);
        } finally {
            closeAll(endpoints);
        }
    }

    private void exit(EndpointStandIn endpoint, long ack) {
        Threads.sleepUntil(ack + (long) (EXIT_AFTER_S * 1e9));
        recorder.line("exit", endpoint.id, "-", "the endpoint ends");
        try {
            endpoint.close();
        } catch (java.io.IOException e) {
            recorder.note("the endpoint could not be closed: " + e);
        }
    }

    private boolean check(
            ConcurrentLinkedQueue<Caller.Outcome> outcomes, List<EndpointStandIn> leaving, long silent, long ack) {
        Map<String, Caller.Outcome> byId = new java.util.HashMap<>();
        outcomes.forEach(outcome -> byId.put(outcome.requestId(), outcome));
        int late = 0;
        int lost = 0;
        for (EndpointStandIn endpoint : leaving) {
            for (EndpointStandIn.Run run : endpoint.runs) {
                Caller.Outcome outcome = byId.get(run.requestId());
                double afterAck = seconds(run.arrivedNanos() - ack);
                boolean inTouch = !trouble || outcome.sentNanos() > silent + (long) (CONTACT_S * 1e9);
                if (afterAck <= DRAIN_S || !inTouch) {
                    continue;
                }
                late++;
                lost += outcome.status() == 200 ? 0 : 1;
                recorder.note(String.format(
                        Locale.ROOT,
                        "late: %s reached %s %.3f s after the ack of draining, %.3f s after the channels went silent; "
                                + "the client got %s",
                        run.requestId(),
                        endpoint.id,
                        afterAck,
                        seconds(run.arrivedNanos() - silent),
                        outcome.status() == 0 ? outcome.detail() : "status " + outcome.status()));
            }
        }
        long answered = outcomes.stream().filter(outcome -> outcome.status() == 200).count();
        recorder.note("sent " + outcomes.size() + ", answered " + answered + ", late at leaving endpoints " + late
                + ", of these lost " + lost);
        if (answered == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return late == 0;
    }
}
