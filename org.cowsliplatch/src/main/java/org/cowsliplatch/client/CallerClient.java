package org.cowsliplatch.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends requests to entry instances: looks up the entry instances of a route, caches the look-up answer for its time to
 * live, and retries a request only as its outcome allows.
 */
public final class CallerClient implements AutoCloseable {
    /** Outcome of a request that was not executed. */
    public static final String NOT_RUN = "not-run";
    /** Outcome of a request that may have been executed, or may still be. */
    public static final String UNKNOWN = "unknown";
    /** Outcome of an idempotent request that got no response. */
    public static final String FAILED = "failed";

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String KEY_ALPHABET = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    private static final int KEY_LENGTH = 22;
    private static final int MAX_ATTEMPTS = 4;

    /**
     * A request to send.
     *
     * @param route name of its route
     * @param method HTTP method
     * @param host host name that the route expects
     * @param pathQuery path and query
     * @param body body, empty for none
     * @param idempotent whether it may be executed more than once
     */
    public record Call(String route, String method, String host, String pathQuery, byte[] body, boolean idempotent) {}

    /**
     * A response.
     *
     * @param status HTTP status
     * @param body response body
     * @param entry name of the entry instance that sent it
     * @param replayed whether it is the recorded response to an earlier copy of the request
     */
    public record Reply(int status, byte[] body, String entry, boolean replayed) {}

    private record Cached(EntryLookup.Answer answer, long expiresNanos) {}

    private final HttpClient http;
    private final List<InetSocketAddress> seeds;
    private final Duration timeout;
    private final Map<String, Cached> cache = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param http started HTTP client; a response that ends with its connection is accepted only from one that
     *     {@link CompleteResponses} created
     * @param seeds addresses of entry instances for the first look-up
     * @param timeout timeout of one attempt
     */
    public CallerClient(HttpClient http, List<InetSocketAddress> seeds, Duration timeout) {
        this.http = http;
        this.seeds = List.copyOf(seeds);
        this.timeout = timeout;
    }

    /**
     * Returns the entry instances to use for a route, from the cache while the cached answer is valid.
     *
     * <p>If no entry instance responds, returns the expired answer.
     *
     * @throws CallerException if the look-up failed and no answer is cached
     */
    public EntryLookup.Answer lookUp(String route) throws CallerException {
        Cached cached = cache.get(route);
        if (cached != null && System.nanoTime() < cached.expiresNanos()) {
            return cached.answer();
        }
        CallerException failure =
                new CallerException(NOT_RUN, "no address of an entry instance is configured or cached", null);
        for (String address : lookUpAddresses(cached)) {
            try {
                EntryLookup.Answer answer = requestLookup(address, route);
                long expires = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(answer.ttlMs());
                cache.put(route, new Cached(answer, expires));
                return answer;
            } catch (CallerException e) {
                failure = e;
            }
        }
        if (cached != null) {
            return cached.answer();
        }
        throw failure;
    }

    /** Removes all look-up answers from the cache. */
    public void clearCache() {
        cache.clear();
    }

    /**
     * Sends a request, and retries it with the same idempotency key, or a new one if the last attempt was not executed.
     *
     * @throws CallerException if no attempt got a response; has the outcome of the last attempt
     */
    public Reply send(Call call) throws CallerException {
        Set<String> tried = new HashSet<>();
        String key = "";
        CallerException failure = new CallerException(NOT_RUN, "no attempt was made", null);
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            EntryLookup.Entry entry = choose(lookUp(call.route()), tried);
            if (!call.idempotent() && key.isEmpty()) {
                key = newKey(entry);
            }
            try {
                return exchange(call, entry, key);
            } catch (CallerException e) {
                failure = e;
                tried.add(entry.name());
                if (e.outcome().equals(NOT_RUN)) {
                    key = "";
                }
            }
        }
        throw failure;
    }

    /**
     * Sends a request once, to one entry instance, with one key.
     *
     * @param key idempotency key, or empty for none
     * @throws CallerException if there was no response, or a problem document; has the outcome of the request
     */
    public Reply exchange(Call call, EntryLookup.Entry entry, String key) throws CallerException {
        Request request = http.newRequest(URI.create("http://" + entry.address() + call.pathQuery()))
                .method(call.method())
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .headers(headers -> {
                    headers.put(HttpHeader.HOST, call.host());
                    if (!key.isEmpty()) {
                        headers.put(KEY_HEADER, key);
                    }
                });
        if (call.body().length > 0) {
            request.body(new BytesRequestContent("application/octet-stream", call.body()));
        }
        ContentResponse response = send(request, call.idempotent() ? FAILED : UNKNOWN);
        String type = String.valueOf(response.getMediaType());
        if (type.equals("application/problem+json")) {
            throw problem(response);
        }
        boolean replayed = "yes".equals(response.getHeaders().get("Idempotency-Replayed"));
        return new Reply(response.getStatus(), response.getContent(), entry.name(), replayed);
    }

    /** Creates a random idempotency key with the key prefix of an entry instance. */
    public static String newKey(EntryLookup.Entry entry) {
        StringBuilder key = new StringBuilder(entry.keyPrefix()).append('.');
        for (int i = 0; i < KEY_LENGTH; i++) {
            key.append(KEY_ALPHABET.charAt(ThreadLocalRandom.current().nextInt(KEY_ALPHABET.length())));
        }
        return key.toString();
    }

    @Override
    public void close() {
        cache.clear();
    }

    private List<String> lookUpAddresses(@org.jspecify.annotations.Nullable Cached cached) {
        List<String> addresses = new ArrayList<>();
        if (cached != null) {
            cached.answer().entries().forEach(entry -> addresses.add(entry.address()));
        }
        seeds.forEach(seed -> addresses.add(Addresses.text(seed)));
        return addresses;
    }

    private EntryLookup.Answer requestLookup(String address, String route) throws CallerException {
        Request request = http.newRequest(URI.create("http://" + address + "/v1/entries"))
                .param("route", route)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        ContentResponse response = send(request, NOT_RUN);
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new CallerException(
                    NOT_RUN, "look-up of route " + route + " failed with status " + response.getStatus(), null);
        }
        try {
            return Json.read(response.getContent(), EntryLookup.Answer.class);
        } catch (IOException e) {
            throw new CallerException(NOT_RUN, "look-up answer of " + address + " is malformed", e);
        }
    }

    private static ContentResponse send(Request request, String outcomeIfSent) throws CallerException {
        try {
            return CompleteResponses.send(request);
        } catch (ExecutionException e) {
            boolean notSent = e.getCause() instanceof ConnectException;
            throw new CallerException(notSent ? NOT_RUN : outcomeIfSent, String.valueOf(e.getMessage()), e);
        } catch (TimeoutException e) {
            throw new CallerException(outcomeIfSent, "no response within the timeout", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CallerException(outcomeIfSent, "interrupted while waiting for the response", e);
        }
    }

    private static CallerException problem(ContentResponse response) {
        try {
            JsonNode problem = Json.MAPPER.readTree(response.getContent());
            return new CallerException(
                    problem.path("outcome").asText(UNKNOWN),
                    response.getStatus() + " " + problem.path("detail").asText(""),
                    null);
        } catch (IOException e) {
            return new CallerException(UNKNOWN, "malformed problem document in the response", e);
        }
    }

    /** Chooses an entry instance at random by weight, among those not tried yet if there are any. */
    private static EntryLookup.Entry choose(EntryLookup.Answer answer, Set<String> tried) throws CallerException {
        List<EntryLookup.Entry> untried = answer.entries().stream()
                .filter(entry -> !tried.contains(entry.name()))
                .toList();
        List<EntryLookup.Entry> entries = untried.isEmpty() ? answer.entries() : untried;
        if (entries.isEmpty()) {
            throw new CallerException(NOT_RUN, "the look-up answer lists no entry instance", null);
        }
        int total = entries.stream().mapToInt(EntryLookup.Entry::weight).sum();
        int point = ThreadLocalRandom.current().nextInt(Math.max(1, total));
        for (EntryLookup.Entry entry : entries) {
            point -= entry.weight();
            if (point < 0) {
                return entry;
            }
        }
        return entries.get(entries.size() - 1);
    }
}
