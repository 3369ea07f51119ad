package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** For some seconds, half of the servers answer one request in twenty with interim heads that never end. */
final class InterimCase {
    private static final int TIMEOUT_MS = 2_000;
    private static final int CLIENT_LIMIT_MS = 4_000;
    private static final int SERVERS = 12;
    private static final int WORK_MS = 120;
    private static final int SPOILED_OF = 20;
    private static final int TROUBLE_MS = 6_000;
    private static final int REQUESTS_PER_SECOND = 200;

    private static volatile boolean inTrouble;

    /** Server that can be in trouble. */
    private static final class FaultyServer extends Server {
        private final AtomicInteger answers = new AtomicInteger();

        FaultyServer(Lab lab, String id, String zone) throws IOException {
            super(lab, id, "booking", zone, 3, WORK_MS);
        }

        @Override
        void handle(Http.Head head, InputStream in, Socket socket) throws IOException, InterruptedException {
            if (!inTrouble || answers.incrementAndGet() % SPOILED_OF != 0) {
                super.handle(head, in, socket);
                return;
            }
            Http.readBody(in, head);
            String request = head.header(Wire.REQUEST);
            lab.record("server %s spoils the answer to %s", id, request);
            OutputStream out = socket.getOutputStream();
            while (true) {
                out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(100);
            }
        }
    }

    public static void main(String[] arguments) {
        Lab.run(arguments, InterimCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        String zones = "{\"z1\":\"north\",\"z2\":\"north\"}";
        Lab.Entry entry = lab.entry("edge-z1-1", "north", "z1", zones, 6);
        for (int i = 0; i < SERVERS; i++) {
            String zone = i % 2 == 0 ? "z1" : "z2";
            if (i < SERVERS / 2) {
                lab.list(new FaultyServer(lab, "i-" + i, zone));
            } else {
                lab.server("i-" + i, "booking", zone, 3, WORK_MS);
            }
        }
        lab.store.put("op", "config", Lab.config(
                1,
                List.of(Lab.route("r", "/book/", "unsafe", "booking", TIMEOUT_MS / 1_000.0, 2)),
                List.of("booking")));
        lab.startAll();
        Thread.sleep(5_000);

        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        lab.record("trouble begins: %s", trouble);
        inTrouble = trouble;
        send(lab, entry, "during", TROUBLE_MS, answers);
        inTrouble = false;
        lab.record("trouble has ended");
        long lasting = answers.stream().filter(answer -> answer.ms() > TIMEOUT_MS).count();
        long unanswered = answers.stream()
                .filter(answer -> answer.status() == 0 && answer.ms() > TIMEOUT_MS + 500)
                .count();
        lab.report(
                "%d of %d requests lasted longer than the route's %d ms; %d of them had no final answer 500 ms later",
                lasting, answers.size(), TIMEOUT_MS, unanswered);
        int[] before = runs(lab);
        Thread.sleep(5_000);
        send(lab, entry, "after", 5_000, new CopyOnWriteArrayList<>());
        int[] after = runs(lab);
        for (int i = 0; i < SERVERS; i++) {
            lab.report("server i-%d ran %d requests in 5 s after the trouble", i, after[i] - before[i]);
        }
        return unanswered < 8 || unanswered <= lasting / 4.0;
    }

    private static int[] runs(Lab lab) {
        return lab.servers.stream().mapToInt(server -> server.runs.get()).toArray();
    }

    private static void send(Lab lab, Lab.Entry entry, String prefix, int forMs, List<Client.Answer> answers)
            throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        int count = forMs * REQUESTS_PER_SECOND / 1_000;
        for (int i = 0; i < count; i++) {
            String id = prefix + "-" + i;
            threads.add(Lab.daemon(id, () -> {
                Client.Answer answer = Client.call(entry.front, "POST", "/book/x", id, CLIENT_LIMIT_MS);
                lab.record("client gets for %s: %d %s, after %d ms", id, answer.status(), answer.text(), answer.ms());
                answers.add(answer);
            }));
            Thread.sleep(1_000 / REQUESTS_PER_SECOND);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
