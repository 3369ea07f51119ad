package review2;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A zone is evacuated and taken back; the store then comes back from a copy made before, and the zone is evacuated again.
 */
final class RestoredEvacuationCase {
    private static final long EVACUATE_MS = 5_000;

    public static void main(String[] arguments) {
        Lab.run(arguments, RestoredEvacuationCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        String zones = "{\"z1\":\"north\",\"z2\":\"north\"}";
        lab.entry("edge-z1-1", "north", "z1", zones, 6);
        lab.entry("edge-z2-1", "north", "z2", zones, 6);
        for (int i = 0; i < 4; i++) {
            lab.server("i-" + i, "booking", i % 2 == 0 ? "z1" : "z2", 3, 100);
        }
        lab.store.put("op", "config", config(1));
        lab.startAll();
        Set<String> stopped = ConcurrentHashMap.newKeySet();
        Lab.daemon("traffic", () -> traffic(lab, stopped));
        Thread.sleep(6_000);

        Store.Copy copy = lab.store.copy();
        lab.record("a copy of the store is made at version %d", copy.version());
        Thread.sleep(500);
        lab.record("operator writes configuration r2: acknowledged as version %d", put(lab, "config", config(2)));
        lab.record("operator evacuates z1: acknowledged as version %d", put(lab, "evacuate/z1", "{}"));
        Thread.sleep(4_000);
        lab.record("operator takes z1 back: acknowledged as version %d", lab.store.remove("op", "evacuate/z1"));
        Thread.sleep(1_500);
        if (trouble) {
            lab.store.leave();
            lab.record("the store is away");
            Thread.sleep(1_000);
            lab.store.comeBack(copy);
            lab.record("the store is back from the copy, at version %d", lab.store.version());
            lab.record("operator writes configuration r2 again: version %d", put(lab, "config", config(2)));
        }
        Thread.sleep(8_000);

        long version = put(lab, "evacuate/z1", "{}");
        long ackNanos = System.nanoTime();
        lab.record("operator evacuates z1 again: acknowledged as version %d", version);
        Thread.sleep(EVACUATE_MS - (System.nanoTime() - ackNanos) / 1_000_000);
        lab.record("the zone must get nothing from now on");
        int before = arrivals(lab, "z1");
        Thread.sleep(4_000);
        int late = arrivals(lab, "z1") - before;
        int elsewhere = arrivals(lab, "z2");
        stopped.add("traffic");
        lab.report("requests that reached servers of the zone later than 5 s after the ack: %d", late);
        if (elsewhere == 0) {
            throw new IllegalStateException("no request reached the other zone");
        }
        return late == 0;
    }

    private static String config(int version) {
        return Lab.config(
                version, List.of(Lab.route("r", "/book/", "unsafe", "booking", 3, 2)), List.of("booking"));
    }

    private static long put(Lab lab, String key, String value) {
        return lab.store.put("op", key, value);
    }

    private static int arrivals(Lab lab, String zone) {
        return lab.servers.stream()
                .filter(server -> server.zone.equals(zone))
                .mapToInt(server -> server.arrivals.get())
                .sum();
    }

    /** Sends ten requests a second, to each entry in turn. */
    private static void traffic(Lab lab, Set<String> stopped) {
        for (int i = 0; stopped.isEmpty(); i++) {
            String id = "q-" + i;
            Lab.Entry entry = lab.entries.get(i % lab.entries.size());
            Lab.daemon(id, () -> {
                Client.Answer answer = Client.call(entry.front, "POST", "/book/x", id, 4_000);
                lab.record("client gets for %s: %d %s", id, answer.status(), answer.text());
            });
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
