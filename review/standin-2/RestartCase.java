package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** One of two entry instances is killed while requests run through it, and is started again at once. */
final class RestartCase {
    private static final int RECOVERY_MS = 15_000;
    private static final int WORK_MS = 840;

    public static void main(String[] arguments) {
        Lab.run(arguments, RestartCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        String zones = "{\"z1\":\"north\",\"z2\":\"north\"}";
        Lab.Entry other = lab.entry("edge-z1-1", "north", "z1", zones, 6);
        Lab.Entry victim = lab.entry("edge-z2-1", "north", "z2", zones, 6);
        for (int i = 0; i < 3; i++) {
            lab.server("i-" + i, "booking", i % 2 == 0 ? "z1" : "z2", 3, WORK_MS);
        }
        lab.store.put("op", "config", Lab.config(
                1, List.of(Lab.route("r", "/book/", "unsafe", "booking", 3, 2)), Map.of("booking", "")));
        lab.startAll();
        Thread.sleep(3_000);
        double before = served(lab, "before", List.of(other, victim), 10);
        lab.report("served before the kill: %.2f of the requests", before);

        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String id = "burst-" + i;
            callers.add(Lab.daemon(id, () -> call(lab, victim, id)));
        }
        Thread.sleep(WORK_MS / 2);
        if (trouble) {
            victim.kill();
            victim.start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        lab.await("the entry is ready again", 15, victim::isReady);
        lab.record("entry %s is ready", victim.name);
        Thread.sleep(RECOVERY_MS + 1_000);
        double after = served(lab, "after", List.of(other, victim), 15);
        lab.report("served more than %d s after the entry was back: %.2f of the requests", RECOVERY_MS / 1_000, after);
        if (before < 0.25) {
            throw new IllegalStateException("less than a quarter was served before the kill");
        }
        return after >= 0.25;
    }

    /** Sends two requests a second to each entry in turn, and returns the share that succeeded. */
    private static double served(Lab lab, String prefix, List<Lab.Entry> entries, int seconds) throws Exception {
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < seconds * 4; i++) {
            String id = prefix + "-" + i;
            Lab.Entry entry = entries.get(i % entries.size());
            threads.add(Lab.daemon(id, () -> answers.add(call(lab, entry, id))));
            Thread.sleep(250);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return answers.stream().filter(Client.Answer::isSuccess).count() / (double) answers.size();
    }

    private static Client.Answer call(Lab lab, Lab.Entry entry, String id) {
        lab.record("client sends %s to %s", id, entry.name);
        Client.Answer answer = Client.call(entry.front, "POST", "/book/x", id, 4_000);
        lab.record("client gets for %s: %d %s, after %d ms", id, answer.status(), answer.text(), answer.ms());
        return answer;
    }
}
