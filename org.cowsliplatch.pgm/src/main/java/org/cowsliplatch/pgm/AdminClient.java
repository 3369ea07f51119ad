package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Asks the administration API of one entry instance. */
final class AdminClient implements AutoCloseable {
    private static final long TIMEOUT_MS = 15_000;

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param json body
     */
    record Answer(int status, JsonNode json) {
        /** Returns the detail of a problem. */
        String detail() {
            return json.path("detail").asText("");
        }
    }

    private final HttpClient http;
    private final URI base;
    private final String token;

    AdminClient(URI base, String token) throws CommandException {
        this.base = base;
        this.token = token;
        this.http = CompleteResponses.createClient();
        try {
            http.start();
        } catch (Exception e) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the HTTP client can't start", e);
        }
    }

    Answer get(String path, Map<String, String> params) throws CommandException {
        Request request = request("GET", path);
        params.forEach(request::param);
        return exchange(request);
    }

    Answer post(String path, Object body) throws CommandException {
        return exchange(request("POST", path).body(json(body)));
    }

    Answer put(String path, Object body, Map<String, String> headers) throws CommandException {
        return exchange(request("PUT", path).body(json(body)).headers(fields -> headers.forEach(fields::put)));
    }

    @Override
    public void close() throws CommandException {
        try {
            http.stop();
        } catch (Exception e) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the HTTP client can't stop", e);
        }
    }

    private Request request(String method, String path) {
        return http.newRequest(base)
                .method(method)
                .path("/v1/admin/" + path)
                .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .headers(fields -> fields.put(HttpHeader.AUTHORIZATION, "Bearer " + token));
    }

    private static BytesRequestContent json(Object body) {
        return new BytesRequestContent("application/json", Json.bytes(body));
    }

    private Answer exchange(Request request) throws CommandException {
        try {
            ContentResponse response = CompleteResponses.send(request);
            return new Answer(response.getStatus(), Json.MAPPER.readTree(response.getContent()));
        } catch (ExecutionException | TimeoutException | IOException e) {
            throw new CommandException(
                    ExitCode.UNAVAILABLE,
                    String.format(java.util.Locale.ROOT, CliText.NO_ANSWER, base, e.getMessage()),
                    e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNAVAILABLE, "interrupted", e);
        }
    }
}
