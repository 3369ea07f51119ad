package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The store is unavailable in part: to one of three entry instances, and to the servers, whose entries lapse meanwhile. */
final class LapseCase {
    private static final int RECOVERY_MS = 15_000;
    private static final int WORK_MS = 640;
    /** Three intervals between the heartbeats of a server. */
    private static final int LAPSE_MS = 4_500;
    private static final int AWAY_MS = 5_500;
    /** Time after the store's return in which the servers' entries are back. */
    private static final int BACK_MS = 500;
    private static final int REQUESTS_PER_SECOND = 17;

    private static volatile boolean turnsAway;

    public static void main(String[] arguments) {
        Lab.run(arguments, LapseCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        String zones = "{\"z1\":\"north\",\"z2\":\"north\",\"z3\":\"north\"}";
        lab.entry("edge-z1-1", "north", "z1", zones, 6, lab.store.open(() -> turnsAway));
        lab.entry("edge-z2-1", "north", "z2", zones, 6);
        lab.entry("edge-z3-1", "north", "z3", zones, 6);
        for (int i = 0; i < 3; i++) {
            lab.server("i-" + i, "booking", "z" + (i + 1), 3, WORK_MS);
        }
        lab.store.put("op", "config", Lab.config(
                1, List.of(Lab.route("r", "/book/", "unsafe", "booking", 2, 2)), List.of("booking")));
        lab.startAll();
        Thread.sleep(3_000);
        double before = served(lab, "before", 8_000);
        lab.report("served before: %.2f of the requests", before);

        Thread requests = Lab.daemon("requests", () -> {
            try {
                served(lab, "during", AWAY_MS + BACK_MS + 1_000);
            } catch (InterruptedException e) {
                lab.record("interrupted");
            }
        });
        if (trouble) {
            turnsAway = true;
            lab.record("the store turns edge-z1-1 and the servers away");
            Thread.sleep(LAPSE_MS);
            for (Server server : lab.servers) {
                lab.store.remove("servers", server.id);
            }
            lab.record("the servers' entries have lapsed");
            Thread.sleep(AWAY_MS - LAPSE_MS);
            turnsAway = false;
            lab.record("the store serves all again");
            Thread.sleep(BACK_MS);
            for (Server server : lab.servers) {
                lab.store.put("servers", server.id, server.row("ready", 20));
            }
            lab.record("the servers' entries are back");
        }
        requests.join();
        Thread.sleep(RECOVERY_MS);
        int runs = runs(lab);
        double after = served(lab, "after", 10_000);
        lab.report("served more than %d s after all was back: %.2f of the requests", RECOVERY_MS / 1_000, after);
        lab.report("requests that reached a server in that time: %d", runs(lab) - runs);
        if (before < 0.25) {
            throw new IllegalStateException("less than a quarter was served before");
        }
        return after >= 0.25;
    }

    private static int runs(Lab lab) {
        return lab.servers.stream().mapToInt(server -> server.arrivals.get()).sum();
    }

    /** Sends requests to each entry in turn, and returns the share that succeeded. */
    private static double served(Lab lab, String prefix, int forMs) throws InterruptedException {
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        int count = forMs * REQUESTS_PER_SECOND / 1_000;
        for (int i = 0; i < count; i++) {
            String id = prefix + "-" + i;
            Lab.Entry entry = lab.entries.get(i % lab.entries.size());
            threads.add(Lab.daemon(id, () -> {
                Client.Answer answer = Client.call(entry.front, "POST", "/book/x", id, 3_000);
                lab.record(
                        "client gets for %s from %s: %d %s, after %d ms",
                        id, entry.name, answer.status(), answer.text(), answer.ms());
                answers.add(answer);
            }));
            Thread.sleep(1_000 / REQUESTS_PER_SECOND);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return answers.stream().filter(Client.Answer::isSuccess).count() / (double) answers.size();
    }
}
