package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound endpoint, with slots and a short queue; a request whose channel closes is dropped. */
class Server implements AutoCloseable {
    private static final int QUEUE = 9;

    final String id;
    final String service;
    final int slots;
    final String zone;
    final long born = System.currentTimeMillis();
    volatile long workMs;
    final Set<String> ran = ConcurrentHashMap.newKeySet();
    final AtomicInteger runs = new AtomicInteger();
    final AtomicInteger shed = new AtomicInteger();
    final AtomicInteger arrivals = new AtomicInteger();
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    final Lab lab;
    private ServerSocket listener;

    Server(Lab lab, String id, String service, String zone, int slots, long workMs) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.free = new Semaphore(slots, true);
        ServerSocket bound = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        listener = bound;
        Lab.daemon(id, () -> accept(bound));
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    String row(String state, int sequence) {
        return Wire.format("row.server", address(), born, service, zone, slots, state, sequence);
    }

    private void accept(ServerSocket bound) {
        while (true) {
            try {
                Socket socket = bound.accept();
                open.add(socket);
                Lab.daemon(id + "-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            while (head != null) {
                handle(head, in, socket);
                head = Http.readHead(in);
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        } finally {
            open.remove(socket);
        }
    }

    /** Handles one request, whose body was not read yet. */
    void handle(Http.Head head, InputStream in, Socket socket) throws IOException, InterruptedException {
        String request = head.header(Wire.REQUEST);
        arrivals.incrementAndGet();
        Http.readBody(in, head);
        OutputStream out = socket.getOutputStream();
        if (!head.header(Wire.TARGET).equals(id)) {
            write(out, "421 Misdirected Request", Wire.INSTANCE + ": " + id + "\r\n", "");
            return;
        }
        long timeLeft = Long.parseLong(head.header(Wire.DEADLINE));
        if (waiting.incrementAndGet() > QUEUE || !free.tryAcquire(timeLeft, TimeUnit.MILLISECONDS)) {
            waiting.decrementAndGet();
            shed.incrementAndGet();
            lab.record("server %s sheds %s", id, request);
            write(
                    out,
                    "503 Service Unavailable",
                    Wire.NOT_EXECUTED + ": 1\r\n" + Wire.REQUEST + ": " + request + "\r\n",
                    "");
            return;
        }
        waiting.decrementAndGet();
        try {
            ran.add(request);
            runs.incrementAndGet();
            lab.record("server %s runs %s", id, request);
            if (!work(in, socket)) {
                lab.record("server %s drops %s, its channel was closed", id, request);
                socket.close();
                return;
            }
        } finally {
            free.release();
        }
        write(out, "200 OK", success(request), "answer to " + request);
    }

    /** Works for the usual time; returns false if the channel closes meanwhile. */
    private boolean work(InputStream in, Socket socket) throws IOException {
        if (workMs == 0) {
            return true;
        }
        socket.setSoTimeout((int) workMs);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    static String success(String request) {
        return Wire.REQUEST + ": " + request + "\r\n" + Wire.SIGNATURE + ": s." + request + "\r\n";
    }

    static void write(OutputStream out, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        out.write(all);
        out.flush();
    }

    /** Ends the server as a crash does: its channels break and its port refuses new ones. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
