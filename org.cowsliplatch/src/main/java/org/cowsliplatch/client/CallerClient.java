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
 * Sends requests by the rules for callers: looks up entry instances, keeps the answer for its time, and repeats a
 * request only in the way that its outcome allows.
 */
public final class CallerClient implements AutoCloseable {
    /** Outcome of a request that did not run. */
    public static final String NOT_RUN = "not-run";
    /** Outcome of a request of which nothing is known. */
    public static final String UNKNOWN = "unknown";
    /** Outcome of an idempotent request that got no answer. */
    public static final String FAILED = "failed";

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String KEY_LETTERS = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    private static final int KEY_LENGTH = 22;
    private static final int TRIES = 4;

    /**
     * A request to send.
     *
     * @param route name of its route
     * @param method HTTP method
     * @param host host name that the route expects
     * @param pathQuery path and query
     * @param body body, empty for none
     * @param idempotent whether it may run more than once
     */
    public record Call(String route, String method, String host, String pathQuery, byte[] body, boolean idempotent) {}

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param body content
     * @param entry name of the entry instance that gave it
     * @param replayed whether it was recorded for an earlier copy of the request
     */
    public record Reply(int status, byte[] body, String entry, boolean replayed) {}

    private record Cached(EntryLookup.Answer answer, long untilNanos) {}

    private final HttpClient http;
    private final List<InetSocketAddress> seeds;
    private final Duration timeout;
    private final Map<String, Cached> cache = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param http started HTTP client
     * @param seeds addresses of entry instances to look up at first
     * @param timeout longest time for one try
     */
    public CallerClient(HttpClient http, List<InetSocketAddress> seeds, Duration timeout) {
        this.http = http;
        this.seeds = List.copyOf(seeds);
        this.timeout = timeout;
    }

    /**
     * Returns the entry instances to use for a route, from the cache if its answer is still fresh.
     *
     * <p>If no entry instance answers, an old answer is used on.
     *
     * @throws CallerException if nothing is known of the route
     */
    public EntryLookup.Answer lookUp(String route) throws CallerException {
        Cached cached = cache.get(route);
        if (cached != null && System.nanoTime() < cached.untilNanos()) {
            return cached.answer();
        }
        CallerException failure = new CallerException(NOT_RUN, "no entry instance is known", null);
        for (String address : lookUpAddresses(cached)) {
            try {
                EntryLookup.Answer answer = ask(address, route);
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(answer.ttlMs());
                cache.put(route, new Cached(answer, until));
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

    /** Forgets all look-up answers. */
    public void forget() {
        cache.clear();
    }

    /**
     * Sends a request, and repeats it where that is safe.
     *
     * @throws CallerException if no try was answered; says what is known
     */
    public Reply send(Call call) throws CallerException {
        Set<String> tried = new HashSet<>();
        String key = "";
        CallerException failure = new CallerException(NOT_RUN, "not tried", null);
        for (int i = 0; i < TRIES; i++) {
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
     * @throws CallerException if no answer came; says what is known
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

    /** Returns a new key under the prefix of an entry instance. */
    public static String newKey(EntryLookup.Entry entry) {
        StringBuilder key = new StringBuilder(entry.keyPrefix()).append('.');
        for (int i = 0; i < KEY_LENGTH; i++) {
            key.append(KEY_LETTERS.charAt(ThreadLocalRandom.current().nextInt(KEY_LETTERS.length())));
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

    private EntryLookup.Answer ask(String address, String route) throws CallerException {
        Request request = http.newRequest(URI.create("http://" + address + "/v1/entries"))
                .param("route", route)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        ContentResponse response = send(request, NOT_RUN);
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new CallerException(NOT_RUN, "look-up of " + route + " answered " + response.getStatus(), null);
        }
        try {
            return Json.read(response.getContent(), EntryLookup.Answer.class);
        } catch (IOException e) {
            throw new CallerException(NOT_RUN, "look-up answer of " + address + " is damaged", e);
        }
    }

    private static ContentResponse send(Request request, String outcomeIfSent) throws CallerException {
        try {
            return request.send();
        } catch (ExecutionException e) {
            boolean unsent = e.getCause() instanceof ConnectException;
            throw new CallerException(unsent ? NOT_RUN : outcomeIfSent, String.valueOf(e.getMessage()), e);
        } catch (TimeoutException e) {
            throw new CallerException(outcomeIfSent, "no answer in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CallerException(outcomeIfSent, "interrupted", e);
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
            return new CallerException(UNKNOWN, "damaged problem answer", e);
        }
    }

    /** Returns an entry instance by weight, those not tried yet first. */
    private static EntryLookup.Entry choose(EntryLookup.Answer answer, Set<String> tried) throws CallerException {
        List<EntryLookup.Entry> fresh = answer.entries().stream()
                .filter(entry -> !tried.contains(entry.name()))
                .toList();
        List<EntryLookup.Entry> entries = fresh.isEmpty() ? answer.entries() : fresh;
        if (entries.isEmpty()) {
            throw new CallerException(NOT_RUN, "the look-up answer is empty", null);
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
