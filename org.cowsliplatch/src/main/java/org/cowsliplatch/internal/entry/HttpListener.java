package org.cowsliplatch.internal.entry;

import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.proxy.MonitoredEndPoint;
import org.cowsliplatch.internal.proxy.ProblemErrorHandler;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.settings.Settings;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An HTTP listener: a Jetty server with one connector and one handler. */
final class HttpListener implements AutoCloseable {
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 8;

    private final Server server;
    private final ServerConnector connector;

    private HttpListener(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /** Starts a listener for callers: HTTP/1.1 and HTTP/2, both without TLS. */
    static HttpListener callers(InetSocketAddress address, int headerBytes, Handler handler)
            throws EntryStartException {
        HttpConfiguration configuration = configuration(headerBytes);
        return start(
                "caller",
                address,
                handler,
                new HttpConnectionFactory(configuration),
                new HTTP2CServerConnectionFactory(configuration));
    }

    /** Starts a listener for HTTP/1.1 without TLS that accepts any path. */
    static HttpListener plain(String name, InetSocketAddress address, int headerBytes, Handler handler)
            throws EntryStartException {
        HttpConfiguration configuration = configuration(headerBytes);
        // Paths are forwarded unchanged; it is for the backend server to accept or reject them.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        return start(name, address, handler, new HttpConnectionFactory(configuration));
    }

    /** Starts a listener for operators: HTTP/1.1, with TLS if a key store is given. */
    static HttpListener operators(
            InetSocketAddress address, int headerBytes, Optional<Settings.KeyStoreFile> keyStore, Handler handler)
            throws EntryStartException {
        HttpConnectionFactory http = new HttpConnectionFactory(configuration(headerBytes));
        if (keyStore.isEmpty()) {
            return start("admin", address, handler, http);
        }
        SslContextFactory.Server tls = new SslContextFactory.Server();
        tls.setKeyStorePath(keyStore.get().file().toUri().toString());
        tls.setKeyStoreType("PKCS12");
        tls.setKeyStorePassword(keyStore.get().password());
        tls.setSniRequired(false);
        return start("admin", address, handler, new SslConnectionFactory(tls, http.getProtocol()), http);
    }

    /** Returns the address, with the port that was bound. */
    InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    @Override
    public void close() throws EntryStartException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new EntryStartException("listener failed to stop", e);
        }
    }

    private static HttpConfiguration configuration(int headerBytes) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(headerBytes);
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(true);
        configuration.setNotifyRemoteAsyncErrors(true);
        return configuration;
    }

    /** Accepts connections that report whether the caller has closed them. */
    private static final class WatchedConnector extends ServerConnector {
        private static final int ACCEPTORS = 1;
        private static final int SELECTORS = 2;

        WatchedConnector(Server server, ConnectionFactory... factories) {
            super(server, ACCEPTORS, SELECTORS, factories);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint = new MonitoredEndPoint(channel, selector, key, getScheduler());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }

    private static HttpListener start(
            String name, InetSocketAddress address, Handler handler, ConnectionFactory... factories)
            throws EntryStartException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        Server server = new Server(threads);
        ServerConnector connector = new WatchedConnector(server, factories);
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(connector);
        server.setHandler(handler);
        server.setErrorHandler(new ProblemErrorHandler());
        try {
            server.start();
        } catch (Exception e) {
            throw new EntryStartException(
                    name + " listener can't be bound to " + Addresses.text(address) + ": " + e.getMessage(), e);
        }
        return new HttpListener(server, connector);
    }
}
