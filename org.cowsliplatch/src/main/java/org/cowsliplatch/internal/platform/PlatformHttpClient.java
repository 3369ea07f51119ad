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
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.component.LifeCycle;
import org.jspecify.annotations.Nullable;

/** Blocking HTTP client of one platform service. */
public final class PlatformHttpClient implements AutoCloseable {
    /** Thrown when a request may have been sent but no response was received. */
    public static final class ResponseLostException extends Exception {
        ResponseLostException(@Nullable Throwable cause) {
            super("no response received", cause);
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
     * Creates an instance with an HTTP client of its own, and starts it.
     *
     * @param base base URI of the service
     * @param service name of the service for error messages
     * @param timeout time-out of connects, and of requests unless a call overrides it
     * @throws EntryStartException if the HTTP client cannot be started
     */
    public static PlatformHttpClient start(URI base, String service, Duration timeout) throws EntryStartException {
        HttpClient client = CompleteResponses.createClient();
        client.setConnectTimeout(timeout.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new EntryStartException("the HTTP client for " + service + " cannot be started", e);
        }
        return new PlatformHttpClient(client, base, service, timeout);
    }

    /** Stops the HTTP client, which aborts all requests in flight. */
    @Override
    public void close() {
        LifeCycle.stop(client);
    }

    String service() {
        return service;
    }

    /**
     * Sends a GET request; a failure has no side effect.
     *
     * @throws PlatformUnavailableException if there was no response, or one with status 500 or above
     */
    public ContentResponse read(String path, Map<String, String> params) throws PlatformUnavailableException {
        return read(request("GET", path), path, params);
    }

    /**
     * Sends a GET request on a connection that is only used for requests of the same purpose; a failure has no side effect.
     *
     * @param purpose purpose of the request
     * @param requestTimeout time-out of the request
     * @throws PlatformUnavailableException if there was no response, or one with status 500 or above
     */
    public ContentResponse readApart(String purpose, String path, Map<String, String> params, Duration requestTimeout)
            throws PlatformUnavailableException {
        Request request = request("GET", path).tag(purpose).timeout(requestTimeout.toMillis(), TimeUnit.MILLISECONDS);
        return read(request, path, params);
    }

    private ContentResponse read(Request request, String path, Map<String, String> params)
            throws PlatformUnavailableException {
        params.forEach(request::param);
        try {
            ContentResponse response = exchange(request, path);
            if (response.getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500) {
                throw new PlatformUnavailableException(
                        service, path + " failed with HTTP status " + response.getStatus(), null);
            }
            return response;
        } catch (ResponseLostException e) {
            throw new PlatformUnavailableException(service, "GET " + path, e);
        }
    }

    /** Sends a GET request and decodes the JSON response; a failure has no side effect. */
    <T> T read(String path, Map<String, String> params, Class<T> type) throws PlatformUnavailableException {
        return decode(read(path, params), path, type);
    }

    /** Decodes the JSON body of a response. */
    <T> T decode(ContentResponse response, String path, Class<T> type) throws PlatformUnavailableException {
        try {
            return Json.read(response.getContent(), type);
        } catch (IOException e) {
            throw new PlatformUnavailableException(service, "malformed response to " + path, e);
        }
    }

    /**
     * Sends a request that may have side effects.
     *
     * @throws PlatformUnavailableException if the connection failed, so that nothing was sent
     * @throws ResponseLostException if there was no response, so that the outcome is unknown
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
            return CompleteResponses.send(request);
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
