package org.cowsliplatch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cowsliplatch.internal.proxy.Headers;
import org.cowsliplatch.platform.Instance;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/**
 * A backend server that answers every request with what it was asked, and can be told to misbehave.
 *
 * <p>The answer names the server, the request and the number of body bytes, so a test sees whose answer it got.
 */
public final class BackendServer implements AutoCloseable {
    /** Ways to answer. */
    public enum Manner {
        /** Answers whole. */
        ANSWER,
        /** Answers half, then closes the connection. */
        CUT,
        /** Closes the connection without an answer. */
        CLOSE,
        /** Never answers. */
        HANG,
        /** Refuses without running the request. */
        SHED,
        /** Refuses without running the request, since it is leaving. */
        LEAVE
    }

    private static final int BUFFER_BYTES = 16 * 1024;

    private final String id;
    private final String service;
    private final String region;
    private final String zone;
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private final AtomicLong bodyBytes = new AtomicLong();
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
    private final List<HttpFields> seenHeaders = new CopyOnWriteArrayList<>();
    private volatile Manner manner = Manner.ANSWER;
    private volatile long serviceMs;

    /**
     * Starts a backend server on a free port of the loopback address.
     *
     * @param service name of its service
     * @param id unique id
     * @param region region
     * @param zone availability zone
     * @throws IOException if it can't be started
     */
    public BackendServer(String service, String id, String region, String zone) throws IOException {
        this.service = service;
        this.id = id;
        this.region = region;
        this.zone = zone;
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        server.addConnector(connector);
        server.setHandler(new Work());
        try {
            server.start();
        } catch (Exception e) {
            throw new IOException("backend server " + id + " can't start", e);
        }
    }

    /** Returns this server as the instance list names it. */
    public Instance instance() {
        return new Instance(service, id, address(), region, zone, false);
    }

    /** Returns its address. */
    public String address() {
        return connector.getHost() + ":" + connector.getLocalPort();
    }

    /** Returns its id. */
    public String id() {
        return id;
    }

    /** Sets how it answers from now on. */
    public void manner(Manner newManner) {
        manner = newManner;
    }

    /** Sets how long it takes for a request, in ms. */
    public void serviceMs(long millis) {
        serviceMs = millis;
    }

    /** Returns how many requests it ran with an idempotency key. */
    public int runs(String key) {
        AtomicInteger runs = runsByKey.get(key);
        return runs == null ? 0 : runs.get();
    }

    /** Returns how many requests it ran in all. */
    public int runs() {
        return seenHeaders.size();
    }

    /** Returns the most requests that ran at the same time. */
    public int mostRunning() {
        return mostRunning.get();
    }

    /** Returns how many requests it refused without running them. */
    public int refusals() {
        return refusals.get();
    }

    /** Returns the bytes of all request bodies that it read to their end. */
    public long bodyBytes() {
        return bodyBytes.get();
    }

    /** Returns the headers of the requests it ran, in order. */
    public List<HttpFields> seenHeaders() {
        return List.copyOf(seenHeaders);
    }

    @Override
    public void close() {
        timers.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("backend server " + id + " can't stop", e);
        }
    }

    private final class Work extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Manner now = manner;
            if (now == Manner.SHED || now == Manner.LEAVE) {
                refuse(now, response, callback);
                return true;
            }
            mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
            // The work ends before its answer is sent, or the next request could seem to run beside it.
            Runnable end = once(running::decrementAndGet);
            Request.addCompletionListener(request, failure -> end.run());
            seenHeaders.add(HttpFields.build(request.getHeaders()).asImmutable());
            String key = request.getHeaders().get(Headers.IDEMPOTENCY_KEY);
            if (key != null) {
                runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
            }
            long read = drain(request);
            bodyBytes.addAndGet(read);
            if (serviceMs == 0) {
                answer(now, request, read, end, response, callback);
            } else {
                var unused = timers.schedule(
                        () -> answer(now, request, read, end, response, callback), serviceMs, TimeUnit.MILLISECONDS);
            }
            return true;
        }

        private static Runnable once(Runnable action) {
            AtomicBoolean done = new AtomicBoolean();
            return () -> {
                if (done.compareAndSet(false, true)) {
                    action.run();
                }
            };
        }

        private void refuse(Manner now, Response response, Callback callback) {
            refusals.incrementAndGet();
            response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
            response.getHeaders().put(Headers.NOT_RUN, "yes");
            if (now == Manner.LEAVE) {
                response.getHeaders().put(Headers.LEAVING, "yes");
            }
            response.write(true, ByteBuffer.allocate(0), callback);
        }

        private static long drain(Request request) throws IOException {
            byte[] buffer = new byte[BUFFER_BYTES];
            long total = 0;
            try (var in = Content.Source.asInputStream(request)) {
                int read = in.read(buffer);
                while (read >= 0) {
                    total += read;
                    read = in.read(buffer);
                }
            }
            return total;
        }

        private void answer(
                Manner now, Request request, long read, Runnable end, Response response, Callback callback) {
            end.run();
            switch (now) {
                case HANG -> {}
                case CLOSE -> {
                    request.getConnectionMetaData()
                            .getConnection()
                            .getEndPoint()
                            .close();
                    callback.failed(new IOException("told to close"));
                }
                case CUT -> {
                    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 1_000L);
                    response.write(
                            false,
                            ByteBuffer.wrap("half".getBytes(StandardCharsets.UTF_8)),
                            Callback.from(() -> callback.failed(new IOException("told to cut")), callback::failed));
                }
                default -> {
                    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
                    String text = id + " " + request.getMethod() + " "
                            + request.getHttpURI().getPathQuery() + " " + read + "\n";
                    response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
                }
            }
        }
    }
}
