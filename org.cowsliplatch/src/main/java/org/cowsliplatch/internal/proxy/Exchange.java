package org.cowsliplatch.internal.proxy;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.RetryBudget;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.link.LinkId;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;
import org.eclipse.jetty.http.HttpCookie;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, from its arrival to the end of its answer.
 *
 * <p>The steps follow each other on whatever thread brings the next event; no two run at the same time.
 */
final class Exchange {
    private final EntryContext context;
    private final Route route;
    private final Pool pool;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Span span;
    private final long startNanos;
    /** Time in ms that the caller will wait from the request's arrival, or -1 if it does not say. */
    private final long callerMs;

    private final long deadlineNanos;
    private final RetryBudget retryBudget;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final KeyStep keyStep;
    private RequestBody body = new RequestBody.Held(new byte[0]);
    private @Nullable AnswerSink sink;
    private volatile SlotSource.@Nullable PendingSlot ticket;
    private volatile @Nullable Attempt attempt;
    private volatile boolean callerGone;
    private final List<String> failedEndpoints = new ArrayList<>();
    private final RequestStory story = new RequestStory();
    private final String object;
    private final @Nullable String requestId;
    /** Estimate of how long ago the caller first sent the request, zero for a new caller. */
    private final Duration sinceFirst;

    private int attempts;
    private int unseenAttempts;
    private boolean anyMayHaveRun;
    private boolean spilled;

    Exchange(EntryContext context, Route route, Pool pool, Request request, Response response, Callback callback) {
        this.context = context;
        this.route = route;
        this.pool = pool;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.startNanos = context.ticker().nanos();
        this.callerMs = callerMs(context, request);
        this.deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs(route));
        this.object = route.options().sticky() ? objectOf(request) : "";
        this.requestId = context.dialect()
                .identity()
                .map(identity -> request.getHeaders().get(identity.request()))
                .orElse(null);
        this.sinceFirst = context.policy().returns().sinceFirst(route.name(), callerMs);
        this.retryBudget = context.retries().of(pool.name());
        this.span = context.tracing()
                .receive(
                        request.getHeaders(),
                        request.getMethod(),
                        String.valueOf(request.getHttpURI().getPath()));
        this.keyStep = new KeyStep(context, this);
        span.setAttribute("cowsliplatch.route", route.name());
        span.setAttribute("cowsliplatch.rank", route.rank().text());
    }

    private long timeoutMs(Route route) {
        long limit = route.timeout().toMillis();
        return callerMs < 0 ? limit : Math.max(1, Math.min(limit, callerMs));
    }

    private static long callerMs(EntryContext context, Request request) {
        String asked = request.getHeaders().get(context.dialect().timeLeft());
        return asked == null ? -1 : Long.parseLong(asked);
    }

    private String objectOf(Request request) {
        String cookie = context.dialect().objectCookie().orElse("");
        for (HttpCookie sent : Request.getCookies(request)) {
            if (sent.getName().equals(cookie)) {
                return String.valueOf(sent.getValue());
            }
        }
        return "";
    }

    void start() {
        request.addFailureListener(this::onCallerGone);
        context.callers().watch(request, this::onCallerGone);
        retryBudget.deposit();
        boolean expects = request.getHeaders().contains(HttpHeader.EXPECT);
        long length = request.getLength();
        if (length == 0 || isWithoutBody()) {
            keyStep.start();
        } else if (length > 0 && length <= context.policy().heldBytes() && !expects) {
            holdBody();
        } else {
            body = new RequestBody.Streamed(
                    new LimitedSource(request, context.bodyBytes().getAsLong()));
            keyStep.start();
        }
    }

    /** Returns the headers of the caller's request. */
    HttpFields headers() {
        return request.getHeaders();
    }

    Route route() {
        return route;
    }

    Span span() {
        return span;
    }

    RequestBody body() {
        return body;
    }

    /** Returns the time in ms that the caller will wait from the request's arrival, or -1 if it does not say. */
    long callerMs() {
        return callerMs;
    }

    /** Returns the estimate in ms of how long ago the caller first sent the request. */
    long sinceFirstMs() {
        return sinceFirst.toMillis();
    }

    /** Returns the time left in ms, negative if it is past. */
    long leftMs() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - context.ticker().nanos());
    }

    /** Returns what copies of this request have in common. */
    String fingerprint() {
        String place = request.getMethod() + " " + request.getHttpURI().getPathQuery() + " " + request.getLength();
        if (body instanceof RequestBody.Held held) {
            return place + " " + Integer.toHexString(java.util.Arrays.hashCode(held.bytes()));
        }
        return place;
    }

    /** Asks for a slot and sends the request. */
    void acquire() {
        if (callerGone) {
            finish(Problem.of(HttpStatus.REQUEST_TIMEOUT_408, Outcome.NOT_RUN, "the caller went away"));
            return;
        }
        Optional<String> region =
                context.regions().choose(pool, context.view().get().endpoints(), route.options());
        if (region.isEmpty()) {
            refuse(Refusal.NO_ENDPOINT);
        } else if (isLinkFull(region.get())) {
            refuse(Refusal.LINK_FULL);
        } else {
            acquireIn(region.get());
        }
    }

    private void acquireIn(String region) {
        Span queue = context.tracing().child(span, "queue", SpanKind.INTERNAL);
        long since = context.ticker().nanos();
        GroupId group = new GroupId(pool.name(), region);
        ticket = context.slots().acquire(group, want(), new SlotSource.SlotCallback() {
            @Override
            public void granted(SlotSource.Lease lease) {
                long waited = context.ticker().nanos() - since;
                context.metrics().queueWait(route.rank(), waited / 1e9);
                story.granted(region, lease.endpoint(), waited);
                queue.setAttribute("cowsliplatch.endpoint", lease.endpoint().id());
                queue.end();
                send(lease);
            }

            @Override
            public void refused(Refusal why) {
                story.refused(region, why, context.ticker().nanos() - since);
                Tracing.fail(queue, why.text());
                if (!spill(region, why)) {
                    refuse(why);
                }
            }
        });
    }

    private SlotRequest.Requirements want() {
        long due = Math.min(dueNanos(), deadlineNanos);
        return new SlotRequest.Requirements(route.rank(), due, deadlineNanos, List.copyOf(failedEndpoints), object);
    }

    /** Returns until when an answer has its full worth for the caller. */
    private long dueNanos() {
        return startNanos
                - sinceFirst.toNanos()
                + route.options().target().toNanos()
                - context.policy().callerDelay().toNanos();
    }

    /** Goes on in another region where one has headroom known to be fresh, once; returns whether it does. */
    private boolean spill(String full, Refusal why) {
        // One that is late already has waited long enough for a slot that nobody else wants.
        boolean late = context.ticker().nanos() > dueNanos();
        if (spilled || why == Refusal.CANCELLED || leftMs() <= 0 || (late && why == Refusal.TOO_LATE)) {
            return false;
        }
        spilled = true;
        List<String> others = context.view().get().endpoints().regions(pool.service()).stream()
                .filter(region -> !region.equals(full) && mayRunIn(region) && !isLinkFull(region))
                .toList();
        Optional<String> other = context.headroom().takeAny(pool.name(), others);
        other.ifPresent(this::acquireIn);
        return other.isPresent();
    }

    private boolean mayRunIn(String region) {
        boolean weighted = pool.regionWeights().isEmpty() || pool.share(region) > 0;
        return weighted && route.options().allows(region);
    }

    private boolean isLinkFull(String region) {
        Pace to = paceTo(region);
        Pace from = paceFrom(region);
        if (to == null || from == null) {
            return false;
        }
        return !to.pacer().mayBegin(to.link()) || !from.pacer().mayBegin(from.link());
    }

    private @Nullable Pace paceTo(String region) {
        return pace(context.regions().home(), region);
    }

    @Nullable
    Pace paceFrom(String region) {
        return pace(region, context.regions().home());
    }

    /** Returns the pace of a way between regions, or null within one. */
    private @Nullable Pace pace(String from, String to) {
        LinkPacer links = context.links();
        return links == null || from.equals(to) ? null : new Pace(links, new LinkId(from, to), context.timers());
    }

    private boolean isWithoutBody() {
        boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
        boolean http2 = request.getConnectionMetaData().getHttpVersion().getVersion() >= 20;
        return request.getLength() < 0 && !chunked && !http2;
    }

    private void holdBody() {
        Content.Source.asByteArrayAsync(request, context.policy().heldBytes(), new Promise.Invocable<>() {
            @Override
            public void succeeded(byte[] bytes) {
                body = new RequestBody.Held(bytes);
                keyStep.start();
            }

            @Override
            public void failed(Throwable failure) {
                finish(Problem.of(
                        HttpStatus.BAD_REQUEST_400, Outcome.NOT_RUN, "the request body ended before its end"));
            }

            @Override
            public InvocationType getInvocationType() {
                return InvocationType.NON_BLOCKING;
            }
        });
    }

    private void refuse(Refusal why) {
        context.metrics().refusal(route.rank(), why.name());
        if (anyMayHaveRun) {
            finish(afterAttempts("no further attempt was possible: " + why.text()));
            return;
        }
        finish(busy(why.text()));
    }

    private Problem busy(String detail) {
        return new Problem(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                detail,
                Outcome.NOT_RUN,
                context.policy().returns().delay(route.name(), callerMs));
    }

    private void send(SlotSource.Lease lease) {
        long left = leftMs();
        if (left <= 0 || callerGone) {
            lease.release(SlotOutcome.UNUSED);
            refuse(callerGone ? Refusal.CANCELLED : Refusal.TOO_LATE);
            return;
        }
        attempts++;
        Span attemptSpan = context.tracing().child(span, "attempt", SpanKind.CLIENT);
        attemptSpan.setAttribute("cowsliplatch.endpoint", lease.endpoint().id());
        attemptSpan.setAttribute("server.address", lease.endpoint().address());
        boolean mayCutSilence = context.policy().cutsSilentAttempts() && route.idempotent() && body.isSendable();
        long attemptMs = RetryPolicy.attemptMs(
                mayCutSilence, attempts - 1, route.options().attempts(), left);
        boolean provenOnly = !route.idempotent() || attempts > 1;
        org.eclipse.jetty.client.Request out;
        try {
            out = outgoing(lease.endpoint().address(), lease.endpoint().name(), provenOnly, attemptSpan, left);
        } catch (IllegalArgumentException e) {
            lease.release(SlotOutcome.UNUSED);
            Tracing.fail(attemptSpan, "bad address");
            finish(Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    "the address has a character that must be " + "escaped; write it as % and two digits"));
            return;
        }
        Attempt next = new Attempt(
                context.client(), lease.endpoint().address(), new EndpointAttempt(this, lease, attemptSpan));
        attempt = next;
        next.send(
                out,
                body,
                request.getHeaders().get(HttpHeader.CONTENT_TYPE),
                paceTo(lease.endpoint().region()),
                attemptMs);
    }

    /**
     * Returns the request for the next hop.
     *
     * @param endpointName name of the one endpoint that may run it, or null if the next hop is no endpoint
     */
    org.eclipse.jetty.client.Request outgoing(
            String address, @Nullable String endpointName, boolean provenOnly, Span hop, long left) {
        String pathQuery = request.getHttpURI().getPathQuery();
        HttpFields headers = Headers.endToEnd(request.getHeaders());
        return context.client()
                .request(address, pathQuery == null ? "/" : pathQuery, provenOnly)
                .method(request.getMethod())
                .headers(fields -> {
                    fields.add(headers);
                    fields.put(HttpHeader.HOST, hostOf(request));
                    fields.remove(HttpHeader.CONTENT_LENGTH);
                    fields.put(context.dialect().timeLeft(), Long.toString(left));
                    if (endpointName != null) {
                        context.dialect()
                                .identity()
                                .ifPresent(identity -> fields.put(identity.endpoint(), endpointName));
                    }
                    context.tracing().inject(hop, fields::put);
                });
    }

    private static String hostOf(Request request) {
        String authority = request.getHttpURI().getAuthority();
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host != null ? host : String.valueOf(authority);
    }

    private void onCallerGone(Throwable cause) {
        callerGone = true;
        SlotSource.PendingSlot waiting = ticket;
        if (waiting != null) {
            waiting.cancel();
        }
        Attempt running = attempt;
        if (running != null && !keyStep.isRecording()) {
            running.cancel(new Attempt.CallerGoneException(cause));
        }
    }

    /** Returns the sink for the answer: the caller, and the record if the request has a key. */
    AnswerSink openSink(int status, HttpFields headers, @Nullable Pace pace) {
        response.setStatus(status);
        response.getHeaders().add(Headers.endToEnd(headers));
        AnswerSink opened = new AnswerSink(response, keyStep.isRecording(), pace);
        sink = opened;
        return opened;
    }

    /** Ends the request after its whole answer was written. */
    void finishAnswered(int status, HttpFields headers) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        AnswerSink written = sink;
        byte[] kept = written == null ? null : written.kept();
        context.callers().forget(request);
        keyStep.record(
                kept == null
                        ? new RecordedOutcome.Unknown("the request ran, but its answer was too long to keep")
                        : new RecordedOutcome.Answer(status, pairs(headers), kept));
        close("answered", status, "");
        if (written != null && written.isCallerGone()) {
            callback.failed(new Attempt.CallerGoneException(null));
        } else {
            callback.succeeded();
        }
    }

    /** Ends the request with a problem, or with a cut connection if an answer was begun. */
    void finish(Problem problem) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        context.callers().forget(request);
        keyStep.record(
                problem.outcome() == Outcome.NOT_RUN
                        ? new RecordedOutcome.NotRun(problem.detail())
                        : new RecordedOutcome.Unknown(problem.detail()));
        close(problem.outcome().text(), problem.status(), problem.detail());
        if (response.isCommitted()) {
            callback.failed(new IllegalStateException(problem.detail()));
        } else {
            problem.write(response, callback);
        }
    }

    /** Ends the request with a recorded answer. */
    void finishReplayed(RecordedOutcome.Answer answer) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        close("replayed", answer.status(), "");
        response.setStatus(answer.status());
        for (int i = 0; i + 1 < answer.headers().size(); i += 2) {
            response.getHeaders().add(answer.headers().get(i), answer.headers().get(i + 1));
        }
        response.getHeaders().put(Headers.REPLAYED, "yes");
        response.write(true, java.nio.ByteBuffer.wrap(answer.body()), callback);
    }

    private void close(String outcome, int status, String detail) {
        long nanos = context.ticker().nanos() - startNanos;
        context.metrics().request(route.rank(), outcome, nanos / 1e9);
        story.write(context, this, new RequestStory.End(outcome, status, detail, nanos));
        span.setAttribute("cowsliplatch.outcome", outcome);
        span.end();
    }

    /** Returns the answer to a request whose attempts all failed. */
    Problem afterAttempts(String detail) {
        if (!anyMayHaveRun) {
            return busy(detail);
        }
        Outcome outcome = route.idempotent() ? Outcome.FAILED : Outcome.UNKNOWN;
        int status = leftMs() <= 0 ? HttpStatus.GATEWAY_TIMEOUT_504 : HttpStatus.BAD_GATEWAY_502;
        return new Problem(status, detail, outcome, route.idempotent() ? Duration.ofSeconds(1) : Duration.ZERO);
    }

    private static List<String> pairs(HttpFields headers) {
        List<String> pairs = new ArrayList<>();
        for (HttpField field : Headers.endToEnd(headers)) {
            pairs.add(field.getName());
            pairs.add(String.valueOf(field.getValue()));
        }
        return pairs;
    }

    /** Returns a random value that no other exchange has. */
    static String nonce() {
        byte[] bytes = new byte[12];
        java.util.concurrent.ThreadLocalRandom.current().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns whether a failed attempt is repeated; spends budget if so. */
    boolean takesAnother(AttemptResult.Kind result, String region) {
        GroupId group = new GroupId(pool.name(), region);
        return !response.isCommitted()
                && body.isSendable()
                && !callerGone
                && attempts < RetryPolicy.MOST_TRIES
                && !context.headroom().isOverloaded(group)
                && RetryPolicy.repeat(
                        result,
                        route.idempotent(),
                        attempts - unseenAttempts,
                        route.options().attempts(),
                        leftMs(),
                        retryBudget);
    }

    /** Notes how an attempt failed. */
    void failed(AttemptResult result, String endpointId) {
        story.failed(result);
        failedEndpoints.add(endpointId);
        anyMayHaveRun |= !result.kind().isProvenNotRun();
        if (result.kind().isUnseen()) {
            unseenAttempts++;
        }
    }

    /** Sends the request once more, as {@link #takesAnother} allowed. */
    void repeat() {
        response.reset();
        context.metrics().retry(pool.name());
        acquire();
    }

    EntryContext context() {
        return context;
    }

    Pool pool() {
        return pool;
    }

    /** Returns the id that the caller gave the request, or null. */
    @Nullable
    String requestId() {
        return requestId;
    }

    /** Returns the object that the request is about, or an empty text. */
    String object() {
        return object;
    }
}
