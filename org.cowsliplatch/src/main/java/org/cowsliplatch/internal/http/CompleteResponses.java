package org.cowsliplatch.internal.http;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ProcessorUtils;
import org.jspecify.annotations.Nullable;

/** Sends requests whose responses are buffered, and accepts a response only on evidence that it is complete. */
public final class CompleteResponses {
    private CompleteResponses() {}

    /** Creates a client, not started, that can tell whether a response without a length is complete. */
    public static HttpClient createClient() {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new PooledEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setSelectors(Math.max(1, ProcessorUtils.availableProcessors() / 2));
        return new HttpClient(new HttpClientTransportOverHTTP(connector));
    }

    /**
     * Sends a request and waits for the response, as {@link Request#send()}.
     *
     * <p>A response without a length is accepted only from a {@linkplain #createClient client} that can tell how its
     * connection ended.
     *
     * @throws ExecutionException if the request failed, or its response is not known to be complete
     * @throws TimeoutException if the request timed out
     * @throws InterruptedException if the thread was interrupted
     */
    public static ContentResponse send(Request request)
            throws InterruptedException, TimeoutException, ExecutionException {
        AtomicReference<@Nullable Connection> connection = new AtomicReference<>();
        ContentResponse response = request.onRequestBegin(begun -> connection.set(begun.getConnection()))
                .send();
        if (!isComplete(response, connection.get())) {
            throw new ExecutionException(
                    new IOException("the server had not closed in order the connection with which its response ends"));
        }
        return response;
    }

    private static boolean isComplete(Response response, @Nullable Connection connection) {
        ResetAwareEndPoint endPoint = connection instanceof org.eclipse.jetty.io.Connection current
                        && current.getEndPoint() instanceof ResetAwareEndPoint resetAware
                ? resetAware
                : null;
        boolean hasFrames = response.getVersion().getVersion() > HttpVersion.HTTP_1_1.getVersion();
        if (endPoint == null && hasFrames) {
            return true;
        }
        return BodyFraming.of(response) != BodyFraming.CONNECTION_END
                || (endPoint != null && endPoint.peerEnd() == ConnectionEnd.CLOSED);
    }
}
