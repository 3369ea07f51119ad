package org.cowsliplatch.internal.proxy;

import java.net.URI;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.cowsliplatch.errors.EntryStartException;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP client for backend servers and other entry instances.
 *
 * <p>Each connection is used for one request only. On a connection in use again, a second copy of a response that
 * arrives late would be taken for the response to the next request.
 *
 * <p>The client must be {@linkplain #start started} before use.
 */
public final class BackendClient implements AutoCloseable {
    private static final long IDLE_TIMEOUT_MS = 2_000;
    private static final int MAX_REQUESTS_PER_CONNECTION = 1;
    private static final long CONNECT_TIMEOUT_MS = 300;
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 128;
    /** Longest head of a response; a longer one is taken for bytes that are no response. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 32 * 1024;
    /** Time after which the connection pool of an unused address is removed. */
    private static final long ADDRESS_IDLE_TIMEOUT_MS = 30_000;

    private final HttpClient client = createClient(createConnector());

    /**
     * Starts the client.
     *
     * @throws EntryStartException if it can't be started
     */
    public void start() throws EntryStartException {
        try {
            client.start();
        } catch (Exception e) {
            throw new EntryStartException("failed to start the HTTP client for backend servers", e);
        }
    }

    /**
     * Creates a request to an address; redirects are not followed.
     *
     * @param address IP address and port
     * @param pathQuery path and query as the caller sent them
     */
    public Request request(String address, String pathQuery) {
        return client.newRequest(URI.create("http://" + address + pathQuery)).followRedirects(false);
    }

    @Override
    public void close() throws EntryStartException {
        try {
            client.stop();
        } catch (Exception e) {
            throw new EntryStartException("failed to stop the HTTP client for backend servers", e);
        }
    }

    private static ClientConnector createConnector() {
        QueuedThreadPool threads = new QueuedThreadPool(32, 4);
        threads.setName("backend");
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new BackendEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setExecutor(threads);
        connector.setSelectors(2);
        connector.setConnectTimeout(java.time.Duration.ofMillis(CONNECT_TIMEOUT_MS));
        return connector;
    }

    private static HttpClient createClient(ClientConnector connector) {
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS_PER_ADDRESS);
            pool.setMaxUsage(MAX_REQUESTS_PER_CONNECTION);
            return pool;
        });
        HttpClient client = new HttpClient(transport);
        client.setDestinationIdleTimeout(ADDRESS_IDLE_TIMEOUT_MS);
        client.setExecutor(connector.getExecutor());
        client.setIdleTimeout(IDLE_TIMEOUT_MS);
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
