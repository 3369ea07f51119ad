package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * SIGTERM of one of two machines. Endpoints of one service send long answers in chunks and are sound; half of the
 * endpoints of the other break off one in twenty of their answers, which have no length. No answer that ends early may
 * look complete to a client.
 */
final class BrokenAnswerCase extends Case {
    private static final double GRACE_S = 6;
    private static final int ENDPOINTS = 12;
    /** One in so many answers of a faulty endpoint is broken off. */
    private static final int BROKEN_ONE_IN = 20;

    private static final long WORK_MS = 150;
    private static final int TIME_LIMIT_MS = 3_000;
    private static final long INTERVAL_MS = 12;
    private static final long SENDING_BEFORE_MS = 2_000;
    private static final long SENDING_AFTER_MS = 3_200;
    private static final int ANSWER_BYTES = 5_000;
    private static final long PAUSE_MS = 20;

    private static final int LONG_ENDPOINTS = 3;
    private static final int LONG_ANSWERS = 5;
    /** Time from the SIGTERM to the first request with a long answer, and between two of them. */
    private static final long LONG_FROM_MS = 2_000;

    private static final long LONG_INTERVAL_MS = 200;
    private static final int LONG_PIECES = 32;
    private static final long LONG_PIECE_MS = 100;
    private static final int LONG_TIME_LIMIT_MS = 4_000;

    /** A sound endpoint that sends its answer in chunks, over a few seconds. */
    private static final class LongAnswers extends EndpointStandIn {
        private final Recorder recorder;

        LongAnswers(String id, Recorder recorder) throws IOException {
            super(id, "minnesarkiv", "sv-uppsala", 3, WORK_MS, recorder);
            this.recorder = recorder;
        }

        @Override
        void answer(Socket socket, InputStream in, Http.Head head) throws IOException {
            String requestId = head.field(Wire.REQUEST_ID);
            Http.readBody(in, head, false);
            if (!head.field(Wire.TARGET).equals(id)) {
                reject(socket, requestId, "HTTP/1.1 421 Misdirected Request", Wire.INSTANCE_ID + ": " + id);
                return;
            }
            recorder.line("run", id, requestId, head.part(0) + " " + head.part(1));
            byte[] body = body(requestId);
            OutputStream out = socket.getOutputStream();
            out.write(Http.message(
                    "HTTP/1.1 200 OK",
                    List.of(
                            Wire.REQUEST_ID + ": " + requestId,
                            Wire.SIGNATURE + ": signed-" + requestId,
                            "Transfer-Encoding: chunked"),
                    new byte[0]));
            int piece = (body.length + LONG_PIECES - 1) / LONG_PIECES;
            for (int from = 0; from < body.length; from += piece) {
                Threads.sleepMs(LONG_PIECE_MS);
                byte[] bytes = Arrays.copyOfRange(body, from, Math.min(body.length, from + piece));
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** An endpoint whose answers have no length and end with their channel. */
    private static final class Unframed extends EndpointStandIn {
        private final AtomicInteger answers = new AtomicInteger();
        private final Recorder recorder;
        volatile boolean faulty;

        Unframed(String id, Recorder recorder) throws IOException {
            super(id, "arendeinfo", "sv-uppsala", 3, WORK_MS, recorder);
            this.recorder = recorder;
        }

        @Override
        void answer(Socket socket, InputStream in, Http.Head head) throws IOException {
            String requestId = head.field(Wire.REQUEST_ID);
            Http.readBody(in, head, false);
            if (!head.field(Wire.TARGET).equals(id)) {
                reject(socket, requestId, "HTTP/1.1 421 Misdirected Request", Wire.INSTANCE_ID + ": " + id);
                return;
            }
            recorder.line("run", id, requestId, head.part(0) + " " + head.part(1));
            Threads.sleepMs(workMs);
            byte[] body = body(requestId);
            boolean breaksOff = faulty && answers.incrementAndGet() % BROKEN_ONE_IN == 0;
            byte[] sent = breaksOff ? Arrays.copyOf(body, body.length / 2) : body;
            socket.getOutputStream()
                    .write(Http.message(
                            "HTTP/1.1 200 OK",
                            List.of(
                                    Wire.REQUEST_ID + ": " + requestId,
                                    Wire.SIGNATURE + ": signed-" + requestId,
                                    "Connection: close"),
                            sent));
            if (breaksOff) {
                recorder.line("broke off", id, requestId, "after " + sent.length + " of " + body.length + " bytes");
                brokenOff.add(requestId);
                Threads.sleepMs(PAUSE_MS);
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    private static byte[] body(String requestId) {
        StringBuilder text = new StringBuilder();
        while (text.length() < ANSWER_BYTES) {
            text.append(requestId).append('.');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    public static void main(String[] args) {
        Case.main(new BrokenAnswerCase(), args);
    }

    @Override
    boolean play() throws Exception {
        List<Unframed> endpoints = new ArrayList<>();
        List<LongAnswers> longEndpoints = new ArrayList<>();
        ConcurrentLinkedQueue<Caller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Caller.Outcome> longOutcomes = new ConcurrentLinkedQueue<>();
        try (StoreStandIn store = new StoreStandIn();
                Deployment deployment =
                        new Deployment(root, Map.of("sv-uppsala", "svealand"), GRACE_S, recorder)) {
            store.put(
                    "op",
                    "config",
                    configuration(
                            1,
                            List.of(
                                    route("status", "/status/", "safe", 1.2, 0.4, "arendeinfo", true),
                                    route("archive", "/archive/", "upload", 4, 0.5, "minnesarkiv", true)),
                            List.of(service("arendeinfo", 3, 3.4), service("minnesarkiv", 3, 3.4))));
            for (int i = 0; i < LONG_ENDPOINTS; i++) {
                LongAnswers endpoint = new LongAnswers("m-" + i, recorder);
                longEndpoints.add(endpoint);
                list(store, endpoint, "ready", 0);
            }
            for (int i = 0; i < ENDPOINTS; i++) {
                Unframed endpoint = new Unframed("i-" + i, recorder);
                endpoint.faulty = trouble && i % 2 == 0;
                endpoints.add(endpoint);
                list(store, endpoint, "ready", 0);
            }
            Deployment.Entry stopping = deployment.add("edge-1", "sv-uppsala", store.port());
            deployment.start(stopping);
            deployment.start(deployment.add("edge-2", "sv-uppsala", store.port()));
            deployment.awaitReady();
            Threads.sleepMs(2_000);

            List<Thread> callers = new ArrayList<>();
            long begin = System.nanoTime();
            boolean signalled = false;
            for (int i = 0; i * INTERVAL_MS < SENDING_BEFORE_MS + SENDING_AFTER_MS; i++) {
                Threads.sleepUntil(begin + i * INTERVAL_MS * 1_000_000);
                if (!signalled && i * INTERVAL_MS >= SENDING_BEFORE_MS) {
                    signalled = true;
                    if (trouble) {
                        deployment.signal(stopping, "TERM");
                    }
                    callers.add(Threads.start("long", () -> sendLong(stopping, longOutcomes)));
                }
                String path = "/status/" + i;
                String object = Integer.toString(i % 36);
                callers.add(Threads.start("caller", () -> outcomes.add(Caller.send(
                        recorder, stopping.front, "GET", path, "a.example", object, TIME_LIMIT_MS, new byte[0]))));
            }
            for (Thread caller : callers) {
                caller.join(LONG_TIME_LIMIT_MS + 3_000);
            }
            int brokenOff = endpoints.stream()
                    .mapToInt(endpoint -> endpoint.brokenOff.size())
                    .sum();
            recorder.note("answers broken off by endpoints: " + brokenOff);
            int mixedLong = countMixed("long answers of sound endpoints", longOutcomes);
            int mixed = countMixed("answers without a length", outcomes);
            return mixedLong + mixed == 0;
        } finally {
            closeAll(endpoints);
            closeAll(longEndpoints);
        }
    }

    private void sendLong(Deployment.Entry entry, ConcurrentLinkedQueue<Caller.Outcome> outcomes) {
        Threads.sleepMs(LONG_FROM_MS);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < LONG_ANSWERS; i++) {
            String path = "/archive/" + i;
            callers.add(Threads.start("caller", () -> outcomes.add(Caller.send(
                    recorder, entry.front, "POST", path, "a.example", path, LONG_TIME_LIMIT_MS, new byte[100]))));
            Threads.sleepMs(LONG_INTERVAL_MS);
        }
        for (Thread caller : callers) {
            try {
                caller.join(LONG_TIME_LIMIT_MS + 1_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the number of successes whose body is not the one that the endpoint made for the request. */
    private int countMixed(String kind, ConcurrentLinkedQueue<Caller.Outcome> outcomes) {
        int whole = 0;
        int mixed = 0;
        for (Caller.Outcome outcome : outcomes) {
            if (outcome.status() != 200) {
                continue;
            }
            String expected = new String(body(outcome.requestId()), StandardCharsets.UTF_8);
            if (outcome.detail().equals(expected)) {
                whole++;
                continue;
            }
            mixed++;
            recorder.note(String.format(
                    Locale.ROOT,
                    "mixed: %s got status 200 with the signature %s and, as a complete answer, %d of %d bytes",
                    outcome.requestId(),
                    outcome.signature(),
                    outcome.detail().length(),
                    expected.length()));
        }
        recorder.note(kind + ": sent " + outcomes.size() + ", whole " + whole + ", cut and complete to the client " + mixed);
        if (whole + mixed == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return mixed;
    }
}
