package org.cowsliplatch.internal.proxy;

import java.net.URI;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowsliplatch.errors.EntryStartException;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP client with the connection pools for backend servers and other entry instances.
 *
 * <p>Idempotent requests reuse connections that were idle for up to 2 s. Non-idempotent requests and retries reuse only
 * proven connections, idle for at most 200 ms, or open new ones. Once a request timed out on a reused connection, all
 * connections to its address that were opened before are retired.
 */
public final class BackendClient implements AutoCloseable {
    private static final long KEEP_ALIVE_IDLE_TIMEOUT_MS = 2_000;
    private static final long PROVEN_IDLE_TIMEOUT_MS = 200;
    private static final long CONNECT_TIMEOUT_MS = 300;
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 128;
    /** Longest head of a response; a longer one is taken for bytes that are no response. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 32 * 1024;
    /** Time after which the connection pool of an unused address is removed. */
    private static final long ADDRESS_IDLE_TIMEOUT_MS = 30_000;

    /** How often a connection may be used. */
    public enum Reuse {
        /** For several requests, one after the other. */
        KEEP_ALIVE(-1),
        /** For one request only, so that leftover bytes of one response can't be taken for the next. */
        SINGLE_USE(1);

        private final int maxUses;

        Reuse(int maxUses) {
            this.maxUses = maxUses;
        }
    }

    private final HttpClient keepAliveClient;
    private final HttpClient provenClient;
    private final Map<String, AtomicInteger> generations = new ConcurrentHashMap<>();
    private final Set<Connection> usedConnections =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /** Creates a client, which must be {@linkplain #start started} before use. */
    public BackendClient(Reuse reuse) {
        this.keepAliveClient = client(connector("backend"), KEEP_ALIVE_IDLE_TIMEOUT_MS, reuse);
        this.provenClient = reuse == Reuse.SINGLE_USE
                ? keepAliveClient
                : client(connector("backend-proven"), PROVEN_IDLE_TIMEOUT_MS, reuse);
    }

    /**
     * Starts the client.
     *
     * @throws EntryStartException if it can't be started
     */
    public void start() throws EntryStartException {
        try {
            keepAliveClient.start();
            provenClient.start();
        } catch (Exception e) {
            throw new EntryStartException("failed to start the HTTP client for backend servers", e);
        }
    }

    /**
     * Creates a request to an address; redirects are not followed.
     *
     * @param address IP address and port
     * @param pathQuery path and query as the caller sent them
     * @param provenOnly whether only a proven or a new connection may be used
     */
    public Request request(String address, String pathQuery, boolean provenOnly) {
        HttpClient client = provenOnly ? provenClient : keepAliveClient;
        return client.newRequest(URI.create("http://" + address + pathQuery))
                .followRedirects(false)
                .tag(generation(address).get());
    }

    /** Returns whether a response was received on a connection before. */
    public boolean isUsed(Connection connection) {
        return usedConnections.contains(connection);
    }

    /** Marks a connection as having received a response. */
    public void markUsed(Connection connection) {
        usedConnections.add(connection);
    }

    /** Stops using the connections to an address that were opened before this call. */
    public void retireConnections(String address) {
        generation(address).incrementAndGet();
    }

    @Override
    public void close() throws EntryStartException {
        try {
            keepAliveClient.stop();
            provenClient.stop();
        } catch (Exception e) {
            throw new EntryStartException("failed to stop the HTTP client for backend servers", e);
        }
    }

    private AtomicInteger generation(String address) {
        return generations.computeIfAbsent(address, key -> new AtomicInteger());
    }

    private static ClientConnector connector(String name) {
        QueuedThreadPool threads = new QueuedThreadPool(32, 4);
        threads.setName(name);
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setExecutor(threads);
        connector.setSelectors(2);
        connector.setConnectTimeout(java.time.Duration.ofMillis(CONNECT_TIMEOUT_MS));
        return connector;
    }

    private static HttpClient client(ClientConnector connector, long idleMs, Reuse reuse) {
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS_PER_ADDRESS);
            pool.setMaxUsage(reuse.maxUses);
            return pool;
        });
        HttpClient client = new HttpClient(transport);
        client.setDestinationIdleTimeout(ADDRESS_IDLE_TIMEOUT_MS);
        client.setExecutor(connector.getExecutor());
        client.setIdleTimeout(idleMs);
        client.setConnectTimeout(CONNECT_TIMEOUT_MS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_ADDRESS * 8);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }
}
