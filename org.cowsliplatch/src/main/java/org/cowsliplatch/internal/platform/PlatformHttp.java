package org.cowsliplatch.internal.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** Blocking HTTP exchanges with one platform service. */
final class PlatformHttp {
    /** The request was sent but no answer came. */
    static final class LostAnswerException extends Exception {
        LostAnswerException(@Nullable Throwable cause) {
            super("no answer came", cause);
        }
    }

    private final HttpClient client;
    private final URI base;
    private final String service;
    private final Duration timeout;

    PlatformHttp(HttpClient client, URI base, String service, Duration timeout) {
        this.client = client;
        this.base = base;
        this.service = service;
        this.timeout = timeout;
    }

    String service() {
        return service;
    }

    /** Reads; any failure has no effect. */
    ContentResponse read(String path, Map<String, String> params) throws PlatformUnavailableException {
        Request request = request("GET", path);
        params.forEach(request::param);
        try {
            ContentResponse response = exchange(request, path);
            if (response.getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500) {
                throw new PlatformUnavailableException(service, path + " answered " + response.getStatus(), null);
            }
            return response;
        } catch (LostAnswerException e) {
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

    /** Writes; a lost answer leaves the effect open. */
    ContentResponse write(String method, String path, byte[] content, String type)
            throws PlatformUnavailableException, LostAnswerException {
        return exchange(request(method, path).body(new BytesRequestContent(type, content)), path);
    }

    private Request request(String method, String path) {
        return client.newRequest(base).method(method).path(path).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ContentResponse exchange(Request request, String path)
            throws PlatformUnavailableException, LostAnswerException {
        try {
            return request.send();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConnectException) {
                throw new PlatformUnavailableException(service, request.getMethod() + " " + path, e.getCause());
            }
            throw new LostAnswerException(e.getCause());
        } catch (TimeoutException e) {
            throw new LostAnswerException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LostAnswerException(e);
        }
    }
}
