package org.cowsliplatch.internal.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.component.LifeCycle;
import org.jspecify.annotations.Nullable;

/** Blocking HTTP exchanges with one platform service. */
public final class PlatformHttpClient implements AutoCloseable {
    /** The request was sent but no answer came. */
    public static final class ResponseLostException extends Exception {
        ResponseLostException(@Nullable Throwable cause) {
            super("no answer came", cause);
        }
    }

    private final HttpClient client;
    private final URI base;
    private final String service;
    private final Duration timeout;

    PlatformHttpClient(HttpClient client, URI base, String service, Duration timeout) {
        this.client = client;
        this.base = base;
        this.service = service;
        this.timeout = timeout;
    }

    /**
     * Starts an exchange with a client of its own.
     *
     * @param base address of the service
     * @param service name of the service, for messages
     * @param timeout longest wait for a connection, and for an answer unless a call says otherwise
     * @throws EntryStartException if the client can't start
     */
    public static PlatformHttpClient start(URI base, String service, Duration timeout) throws EntryStartException {
        HttpClient client = new HttpClient();
        client.setConnectTimeout(timeout.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new EntryStartException("the HTTP client for " + service + " can't start", e);
        }
        return new PlatformHttpClient(client, base, service, timeout);
    }

    /** Ends the client and with it all exchanges. */
    @Override
    public void close() {
        LifeCycle.stop(client);
    }

    String service() {
        return service;
    }

    /**
     * Reads; any failure has no effect.
     *
     * @throws PlatformUnavailableException if no answer came, or one of status 500 and above
     */
    public ContentResponse read(String path, Map<String, String> params) throws PlatformUnavailableException {
        return read(path, params, timeout);
    }

    /**
     * Reads; any failure has no effect.
     *
     * @param longest longest wait for the answer
     * @throws PlatformUnavailableException if no answer came, or one of status 500 and above
     */
    public ContentResponse read(String path, Map<String, String> params, Duration longest)
            throws PlatformUnavailableException {
        Request request = request("GET", path).timeout(longest.toMillis(), TimeUnit.MILLISECONDS);
        params.forEach(request::param);
        try {
            ContentResponse response = exchange(request, path);
            if (response.getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500) {
                throw new PlatformUnavailableException(service, path + " answered " + response.getStatus(), null);
            }
            return response;
        } catch (ResponseLostException e) {
            throw new PlatformUnavailableException(service, "GET " + path, e);
        }
    }

    /** Reads a JSON value; any failure has no effect. */
    <T> T read(String path, Map<String, String> params, Class<T> type) throws PlatformUnavailableException {
        return decode(read(path, params), path, type);
    }

    /** Returns the JSON value in an answer. */
    <T> T decode(ContentResponse response, String path, Class<T> type) throws PlatformUnavailableException {
        try {
            return Json.read(response.getContent(), type);
        } catch (IOException e) {
            throw new PlatformUnavailableException(service, "damaged answer to " + path, e);
        }
    }

    /**
     * Writes.
     *
     * @throws PlatformUnavailableException if nothing was sent
     * @throws ResponseLostException if no answer came, which leaves the effect open
     */
    public ContentResponse write(String method, String path, byte[] content, String type)
            throws PlatformUnavailableException, ResponseLostException {
        return exchange(request(method, path).body(new BytesRequestContent(type, content)), path);
    }

    private Request request(String method, String path) {
        return client.newRequest(base).method(method).path(path).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ContentResponse exchange(Request request, String path)
            throws PlatformUnavailableException, ResponseLostException {
        try {
            return request.send();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConnectException) {
                throw new PlatformUnavailableException(service, request.getMethod() + " " + path, e.getCause());
            }
            throw new ResponseLostException(e.getCause());
        } catch (TimeoutException e) {
            throw new ResponseLostException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ResponseLostException(e);
        }
    }
}
