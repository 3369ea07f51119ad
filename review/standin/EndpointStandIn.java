package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/** An endpoint: works on as many requests at once as it has slots, and answers as PROTOCOL.md says. */
class EndpointStandIn implements AutoCloseable {
    /** A request that the endpoint began to work on. */
    record Run(String requestId, String method, String target, byte[] body, long arrivedNanos) {}

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long bornMs = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    /** Times at which requests arrived that were meant for it, run or not. */
    final List<Long> arrivals = new CopyOnWriteArrayList<>();
    /** Ids of the requests that it rejected as not run. */
    final List<String> rejected = new CopyOnWriteArrayList<>();
    /** Ids of the requests that it was working on when their channel or the endpoint ended. */
    final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final Set<String> atWork = ConcurrentHashMap.newKeySet();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Semaphore free;
    private final ServerSocket listener;
    private final Recorder recorder;
    volatile long workMs;
    private long sequence;
    private volatile boolean closed;

    EndpointStandIn(String id, String service, String zone, int slots, long workMs, Recorder recorder)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.recorder = recorder;
        this.free = new Semaphore(slots);
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
    }

    /** Returns the entry that the endpoint writes of itself into the store, with the next sequence number. */
    synchronized String row(String state, double coldRemainingS) {
        sequence++;
        String address = "127.0.0.1:" + listener.getLocalPort();
        return Wire.format("row.endpoint", service, address, bornMs, zone, slots, state, sequence, coldRemainingS);
    }

    /** Ends the endpoint: what it is working on is broken off. */
    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        brokenOff.addAll(atWork);
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                Threads.start(id, () -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            while (head != null) {
                answer(socket, in, head);
                head = Http.readHead(in);
            }
        } catch (IOException e) {
            // The channel was closed.
        } finally {
            open.remove(socket);
        }
    }

    /** Handles one request; by default runs it when a slot is free. */
    void answer(Socket socket, InputStream in, Http.Head head) throws IOException {
        long arrived = System.nanoTime();
        String requestId = head.field(Wire.REQUEST_ID);
        String target = head.field(Wire.TARGET);
        byte[] body = Http.readBody(in, head, false);
        if (!target.isEmpty() && !target.equals(id)) {
            reject(socket, requestId, "HTTP/1.1 421 Misdirected Request", Wire.INSTANCE_ID + ": " + id);
            return;
        }
        arrivals.add(arrived);
        if (!free.tryAcquire()) {
            reject(socket, requestId, "HTTP/1.1 503 Service Unavailable", Wire.NOT_EXECUTED + ": 1");
            return;
        }
        try {
            runs.add(new Run(requestId, head.part(0), head.part(1), body, arrived));
            recorder.line("run", id, requestId, head.part(0) + " " + head.part(1) + " " + body.length + " bytes");
            atWork.add(requestId);
            Threads.sleepMs(workMs);
            if (closed) {
                return;
            }
            send(socket, requestId, ("done by " + id).getBytes(StandardCharsets.UTF_8));
        } finally {
            atWork.remove(requestId);
            free.release();
        }
    }

    final void send(Socket socket, String requestId, byte[] body) throws IOException {
        socket.getOutputStream()
                .write(Http.message(
                        "HTTP/1.1 200 OK",
                        List.of(
                                Wire.REQUEST_ID + ": " + requestId,
                                Wire.SIGNATURE + ": signed-" + requestId,
                                "Content-Length: " + body.length),
                        body));
    }

    final void reject(Socket socket, String requestId, String statusLine, String field) throws IOException {
        rejected.add(requestId);
        recorder.line("rejected", id, requestId, statusLine);
        socket.getOutputStream()
                .write(Http.message(statusLine, List.of(field, "Content-Length: 0"), new byte[0]));
    }
}
