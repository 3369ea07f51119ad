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
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.RetryBudget;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.link.LinkId;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.cowsliplatch.internal.proxy.RequestDecisionLog.Delivery;
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
 * Processing of one caller request, from its arrival to the end of its response.
 *
 * <p>Each step runs on the thread that delivers the event it waits for; no two steps run concurrently.
 */
final class Exchange {
    private final EntryContext context;
    private final long tablesNumber;
    private final TablesOrigin tablesOrigin;
    private final Route route;
    private final Pool pool;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Span span;
    private final long startNanos;
    /** Timeout in ms that the caller sent, counted from the request's arrival, or -1 if it sent none. */
    private final long callerTimeoutMs;

    private final long deadlineNanos;
    private final RetryBudget retryBudget;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final IdempotencyHandler idempotency;
    private RequestBody body = new RequestBody.Buffered(new byte[0]);
    private @Nullable ResponseSink sink;
    private ResponseFraming framing = ResponseFraming.EXPLICIT;
    private volatile SlotSource.@Nullable PendingSlot ticket;
    private volatile @Nullable Attempt attempt;
    private volatile boolean callerDisconnected;
    private final List<String> failedEndpoints = new ArrayList<>();
    private final RequestDecisionLog decisions = new RequestDecisionLog();
    private final String object;
    private final @Nullable String requestId;
    /** Estimated time since the caller first sent the request; zero unless it is a retry by the caller. */
    private final Duration sinceFirst;

    private int attempts;
    private int unsentAttempts;
    private boolean anyAttemptMayHaveRun;
    private boolean spilledOver;
    /** Whether a planned stop that had begun when the request arrived leaves too little time for it. */
    private boolean refusedByStop;

    /**
     * Creates an exchange that is not started.
     *
     * @param tablesNumber number of the tables that have the route and the pool
     */
    Exchange(
            EntryContext context,
            long tablesNumber,
            Route route,
            Pool pool,
            Request request,
            Response response,
            Callback callback) {
        this.context = context;
        this.tablesNumber = tablesNumber;
        this.tablesOrigin = context.tablesOrigin().apply(tablesNumber);
        this.route = route;
        this.pool = pool;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.startNanos = context.ticker().nanos();
        this.callerTimeoutMs = callerTimeoutMs(context, request);
        this.deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(effectiveTimeoutMs(route));
        this.object = route.options().sticky() ? objectOf(request) : "";
        this.requestId = context.dialect()
                .identity()
                .map(identity -> request.getHeaders().get(identity.request()))
                .orElse(null);
        this.sinceFirst = context.policy().retryAfterPolicy().sinceFirst(route.name(), callerTimeoutMs);
        this.retryBudget = context.retryBudgets().of(pool.name());
        this.span = context.tracing()
                .receive(
                        request.getHeaders(),
                        request.getMethod(),
                        String.valueOf(request.getHttpURI().getPath()));
        this.idempotency = new IdempotencyHandler(context, this);
        span.setAttribute("cowsliplatch.route", route.name());
        span.setAttribute("cowsliplatch.rank", route.rank().text());
    }

    private long effectiveTimeoutMs(Route route) {
        long limit = route.timeout().toMillis();
        return callerTimeoutMs < 0 ? limit : Math.max(1, Math.min(limit, callerTimeoutMs));
    }

    private static long callerTimeoutMs(EntryContext context, Request request) {
        String timeout = request.getHeaders().get(context.dialect().timeLeft());
        return timeout == null ? -1 : Long.parseLong(timeout);
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

    /**
     * Starts to process the request.
     *
     * @param stop when requests are served during a planned stop, null if none has begun
     */
    void start(@Nullable ServingWindow stop) {
        refusedByStop = stop != null && !stop.admits(startNanos, deadlineNanos);
        if (refusedByStop && !idempotency.hasKey()) {
            refuseForStop();
            return;
        }
        request.addFailureListener(this::onCallerDisconnect);
        context.disconnectMonitor().watch(request, this::onCallerDisconnect);
        retryBudget.deposit();
        boolean expectsContinue = request.getHeaders().contains(HttpHeader.EXPECT);
        long length = request.getLength();
        if (length == 0 || hasNoBody()) {
            idempotency.start();
        } else if (length > 0 && length <= context.policy().maxBufferedBodyBytes() && !expectsContinue) {
            bufferBody();
        } else {
            body = new RequestBody.Streamed(
                    new LimitedSource(request, context.maxBodyBytes().applyAsLong(tablesNumber)));
            idempotency.start();
        }
    }

    HttpFields requestHeaders() {
        return request.getHeaders();
    }

    Route route() {
        return route;
    }

    /** Returns the number of the tables that decided this request. */
    long tablesNumber() {
        return tablesNumber;
    }

    TablesOrigin tablesOrigin() {
        return tablesOrigin;
    }

    Span span() {
        return span;
    }

    RequestBody body() {
        return body;
    }

    /** Returns the timeout in ms that the caller sent, counted from the request's arrival, or -1 if it sent none. */
    long callerTimeoutMs() {
        return callerTimeoutMs;
    }

    /** Returns the estimated time in ms since the caller first sent the request. */
    long sinceFirstMs() {
        return sinceFirst.toMillis();
    }

    /** Returns the time in ms until the deadline, negative after it. */
    long remainingMs() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - context.ticker().nanos());
    }

    /** Returns a value that is equal for copies of this request: method, URI, length and a hash of a buffered body. */
    String fingerprint() {
        String requestLine =
                request.getMethod() + " " + request.getHttpURI().getPathQuery() + " " + request.getLength();
        if (body instanceof RequestBody.Buffered buffered) {
            return requestLine + " " + Integer.toHexString(java.util.Arrays.hashCode(buffered.bytes()));
        }
        return requestLine;
    }

    /** Returns whether a planned stop that had begun when the request arrived leaves too little time for it. */
    boolean isRefusedByStop() {
        return refusedByStop;
    }

    /** Refuses the request without {@code Retry-After}, since other entry instances can serve it at once. */
    private void refuseForStop() {
        context.metrics().refusal(route.rank(), "STOPPING");
        finish(Problem.of(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                Outcome.NOT_RUN,
                "this entry instance stops before the deadline of the request; send it to another entry instance"));
    }

    /** Requests a slot, and sends the request once it is granted. */
    void acquire() {
        if (refusedByStop) {
            refuseForStop();
            return;
        }
        if (callerDisconnected) {
            finish(Problem.of(
                    HttpStatus.REQUEST_TIMEOUT_408,
                    Outcome.NOT_RUN,
                    "the caller disconnected before a slot was requested"));
            return;
        }
        Optional<String> region =
                context.regionChooser().choose(pool, context.view().get().endpoints(), route.options());
        if (region.isEmpty()) {
            refuse(Refusal.NO_ENDPOINT);
        } else if (isLinkFull(region.get())) {
            refuse(Refusal.LINK_FULL);
        } else {
            acquireIn(region.get());
        }
    }

    private void acquireIn(String region) {
        Span queueSpan = context.tracing().child(span, "queue", SpanKind.INTERNAL);
        long queuedNanos = context.ticker().nanos();
        GroupId group = new GroupId(pool.name(), region);
        ticket = context.slots().acquire(group, slotRequest(), new SlotSource.SlotCallback() {
            @Override
            public void granted(SlotSource.Lease lease) {
                long waited = context.ticker().nanos() - queuedNanos;
                context.metrics().queueWait(route.rank(), waited / 1e9);
                decisions.granted(region, lease.endpoint(), waited);
                queueSpan.setAttribute("cowsliplatch.endpoint", lease.endpoint().id());
                queueSpan.end();
                send(lease);
            }

            @Override
            public void refused(Refusal reason) {
                decisions.refused(region, reason, context.ticker().nanos() - queuedNanos);
                Tracing.fail(queueSpan, reason.text());
                if (!trySpillover(region, reason)) {
                    refuse(reason);
                }
            }

            @Override
            public void refusedByRate(RateBound bound) {
                decisions.refusedByRate(region, bound, context.ticker().nanos() - queuedNanos);
                Tracing.fail(queueSpan, bound.text());
                if (!trySpillover(region, Refusal.RATE_LIMITED)) {
                    refuseUntilRoom(bound);
                }
            }
        });
    }

    private SlotRequest.Requirements slotRequest() {
        long due = Math.min(dueNanos(), deadlineNanos);
        return new SlotRequest.Requirements(route.rank(), due, deadlineNanos, List.copyOf(failedEndpoints), object);
    }

    /** Returns the latest time at which a response meets the latency target of the route, in ns of the ticker. */
    private long dueNanos() {
        return startNanos
                - sinceFirst.toNanos()
                + route.options().target().toNanos()
                - context.policy().callerDelay().toNanos();
    }

    /** Requests a slot in another region that has headroom by a recent report, at most once; returns whether it does. */
    private boolean trySpillover(String fullRegion, Refusal reason) {
        // A request past its latency target gets only slots that no other request needs; it has waited long enough for
        // one.
        boolean pastTarget = context.ticker().nanos() > dueNanos();
        if (spilledOver
                || reason == Refusal.CANCELLED
                || remainingMs() <= 0
                || (pastTarget && reason == Refusal.TOO_LATE)) {
            return false;
        }
        spilledOver = true;
        List<String> others = context.view().get().endpoints().regions(pool.service()).stream()
                .filter(region -> !region.equals(fullRegion) && isRegionAllowed(region) && !isLinkFull(region))
                .toList();
        Optional<String> other = context.headroom().tryTakeAny(pool.name(), object, others);
        other.ifPresent(this::acquireIn);
        return other.isPresent();
    }

    private boolean isRegionAllowed(String region) {
        boolean hasShare = pool.regionWeights().isEmpty() || pool.share(region) > 0;
        return hasShare && route.options().allows(region);
    }

    private boolean isLinkFull(String region) {
        FlowPacer to = pacerTo(region);
        FlowPacer from = pacerFrom(region);
        if (to == null || from == null) {
            return false;
        }
        return !to.links().mayStartFlow(to.link()) || !from.links().mayStartFlow(from.link());
    }

    private @Nullable FlowPacer pacerTo(String region) {
        return pacerBetween(context.regionChooser().home(), region);
    }

    @Nullable
    FlowPacer pacerFrom(String region) {
        return pacerBetween(region, context.regionChooser().home());
    }

    /** Returns a pacer for traffic between regions, or null if it is not paced or stays in one region. */
    private @Nullable FlowPacer pacerBetween(String from, String to) {
        LinkPacer linkPacer = context.linkPacer();
        return linkPacer == null || from.equals(to)
                ? null
                : new FlowPacer(linkPacer, new LinkId(from, to), context.scheduler());
    }

    private boolean hasNoBody() {
        boolean isChunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
        boolean isHttp2 = request.getConnectionMetaData().getHttpVersion().getVersion() >= 20;
        return request.getLength() < 0 && !isChunked && !isHttp2;
    }

    private void bufferBody() {
        Content.Source.asByteArrayAsync(request, context.policy().maxBufferedBodyBytes(), new Promise.Invocable<>() {
            @Override
            public void succeeded(byte[] bytes) {
                body = new RequestBody.Buffered(bytes);
                idempotency.start();
            }

            @Override
            public void failed(Throwable failure) {
                finish(Problem.of(
                        HttpStatus.BAD_REQUEST_400,
                        Outcome.NOT_RUN,
                        "request body truncated: it ended before Content-Length bytes were read"));
            }

            @Override
            public InvocationType getInvocationType() {
                return InvocationType.NON_BLOCKING;
            }
        });
    }

    private void refuse(Refusal reason) {
        context.metrics().refusal(route.rank(), reason.name());
        if (anyAttemptMayHaveRun) {
            finish(problemAfterAttempts("no further attempt could be made: " + reason.text()));
            return;
        }
        finish(unavailable(reason.text()));
    }

    /** Refuses the request with the time after which the rate limits leave room for it. */
    private void refuseUntilRoom(RateBound bound) {
        context.metrics().refusal(route.rank(), Refusal.RATE_LIMITED.name());
        if (anyAttemptMayHaveRun) {
            finish(problemAfterAttempts("no further attempt could be made: " + bound.text()));
            return;
        }
        Duration room = Duration.ofNanos(bound.roomInNanos());
        Duration usual = context.policy().retryAfterPolicy().delay(route.name(), callerTimeoutMs);
        finish(unavailable(bound.text(), room.compareTo(usual) > 0 ? room : usual));
    }

    private Problem unavailable(String detail) {
        return unavailable(detail, context.policy().retryAfterPolicy().delay(route.name(), callerTimeoutMs));
    }

    private static Problem unavailable(String detail, Duration retryAfter) {
        return new Problem(HttpStatus.SERVICE_UNAVAILABLE_503, detail, Outcome.NOT_RUN, retryAfter);
    }

    private void send(SlotSource.Lease lease) {
        long remaining = remainingMs();
        if (remaining <= 0 || callerDisconnected) {
            lease.release(SlotOutcome.UNUSED);
            refuse(callerDisconnected ? Refusal.CANCELLED : Refusal.TOO_LATE);
            return;
        }
        attempts++;
        Span attemptSpan = context.tracing().child(span, "attempt", SpanKind.CLIENT);
        attemptSpan.setAttribute("cowsliplatch.endpoint", lease.endpoint().id());
        attemptSpan.setAttribute("server.address", lease.endpoint().address());
        boolean reserveRetryTime = context.policy().reservesRetryTime() && route.idempotent() && body.isSendable();
        long attemptTimeoutMs = RetryPolicy.attemptTimeoutMs(
                reserveRetryTime, attempts - 1, route.options().attempts(), remaining);
        org.eclipse.jetty.client.Request hopRequest;
        try {
            hopRequest =
                    nextHopRequest(lease.endpoint().address(), lease.endpoint().name(), attemptSpan, remaining);
        } catch (IllegalArgumentException e) {
            lease.release(SlotOutcome.UNUSED);
            Tracing.fail(attemptSpan, "invalid request URI");
            finish(Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    "invalid request URI: a character must be percent-encoded, as % and two hexadecimal digits"));
            return;
        }
        Attempt newAttempt =
                new Attempt(lease.endpoint().address(), new EndpointAttemptListener(this, lease, attemptSpan));
        attempt = newAttempt;
        newAttempt.send(
                hopRequest,
                body,
                request.getHeaders().get(HttpHeader.CONTENT_TYPE),
                pacerTo(lease.endpoint().region()),
                attemptTimeoutMs);
    }

    /**
     * Creates the request for the next hop, an endpoint or another entry instance.
     *
     * @param endpointName name of the only endpoint that may execute it, or null if the next hop is an entry instance
     */
    org.eclipse.jetty.client.Request nextHopRequest(
            String address, @Nullable String endpointName, Span hopSpan, long remainingMs) {
        String pathQuery = request.getHttpURI().getPathQuery();
        HttpFields headers = Headers.endToEnd(request.getHeaders());
        return context.backendClient()
                .request(address, pathQuery == null ? "/" : pathQuery)
                .method(request.getMethod())
                .headers(fields -> {
                    fields.add(headers);
                    fields.put(HttpHeader.HOST, hostOf(request));
                    fields.remove(HttpHeader.CONTENT_LENGTH);
                    fields.put(context.dialect().timeLeft(), Long.toString(remainingMs));
                    if (endpointName != null) {
                        context.dialect()
                                .identity()
                                .ifPresent(identity -> fields.put(identity.endpoint(), endpointName));
                    }
                    context.tracing().inject(hopSpan, fields::put);
                });
    }

    private static String hostOf(Request request) {
        String authority = request.getHttpURI().getAuthority();
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host != null ? host : String.valueOf(authority);
    }

    private void onCallerDisconnect(Throwable cause) {
        callerDisconnected = true;
        SlotSource.PendingSlot currentTicket = ticket;
        if (currentTicket != null) {
            currentTicket.cancel();
        }
        Attempt currentAttempt = attempt;
        if (currentAttempt != null && !idempotency.isRecording()) {
            currentAttempt.cancel(new Attempt.CallerDisconnectedException(cause));
        }
    }

    /** Starts the response to the caller; returns the sink for its body, which also records it for a request with a key. */
    ResponseSink openSink(int status, HttpFields headers, @Nullable FlowPacer pacer) {
        response.setStatus(status);
        response.getHeaders().add(Headers.endToEnd(headers));
        framing = ResponseFraming.of(request, response);
        framing.begin(request, response);
        ResponseSink newSink = new ResponseSink(response, idempotency.isRecording(), pacer);
        sink = newSink;
        return newSink;
    }

    /** Ends the request after its whole response was written. */
    void finishWithResponse(int status, HttpFields headers) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        ResponseSink responseSink = sink;
        byte[] recorded = responseSink == null ? null : responseSink.recordedBytes();
        recordReceived();
        context.disconnectMonitor().unwatch(request);
        idempotency.record(
                recorded == null
                        ? new RecordedOutcome.Unknown(
                                "the request was executed, but its response was too long to be recorded")
                        : new RecordedOutcome.Answer(status, nameValuePairs(headers), recorded));
        boolean callerLeft = responseSink != null && responseSink.isCallerDisconnected();
        complete("answered", status, "", callerLeft ? Delivery.End.CALLER_LEFT : Delivery.End.COMPLETE);
        if (callerLeft) {
            callback.failed(new Attempt.CallerDisconnectedException(null));
        } else {
            framing.end(request);
            callback.succeeded();
        }
    }

    /** Ends the request with a problem, or by aborting the response if it is committed. */
    void finish(Problem problem) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        context.disconnectMonitor().unwatch(request);
        idempotency.record(
                problem.outcome() == Outcome.NOT_RUN
                        ? new RecordedOutcome.NotRun(problem.detail())
                        : new RecordedOutcome.Unknown(problem.detail()));
        complete(problem.outcome().text(), problem.status(), problem.detail(), endWithProblem());
        if (response.isCommitted()) {
            callback.failed(new IllegalStateException(problem.detail()));
        } else {
            framing.end(request);
            problem.write(response, callback);
        }
    }

    private Delivery.End endWithProblem() {
        if (callerDisconnected) {
            return Delivery.End.CALLER_LEFT;
        }
        return response.isCommitted() ? Delivery.End.CUT : Delivery.End.PROBLEM;
    }

    /** Ends the request with the response that was recorded for an earlier copy. */
    void finishWithReplay(RecordedOutcome.Answer answer) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        complete("replayed", answer.status(), "", Delivery.End.COMPLETE);
        response.setStatus(answer.status());
        for (int i = 0; i + 1 < answer.headers().size(); i += 2) {
            response.getHeaders().add(answer.headers().get(i), answer.headers().get(i + 1));
        }
        response.getHeaders().put(Headers.REPLAYED, "yes");
        response.write(true, java.nio.ByteBuffer.wrap(answer.body()), callback);
    }

    private void complete(String outcome, int status, String detail, Delivery.End end) {
        long nanos = context.ticker().nanos() - startNanos;
        ResponseSink currentSink = sink;
        Delivery delivery = new Delivery(framing.text(), currentSink == null ? 0 : currentSink.bytes(), end);
        context.metrics().request(route.rank(), outcome, nanos / 1e9);
        decisions.write(context, this, new RequestDecisionLog.Completion(outcome, status, detail, nanos, delivery));
        span.setAttribute("cowsliplatch.outcome", outcome);
        span.end();
    }

    /** Records that the response of the present attempt has the header by which endpoints announce their leaving. */
    void leavingAnnounced(String value) {
        decisions.leavingAnnounced(value);
    }

    private void recordReceived() {
        Attempt currentAttempt = attempt;
        ReceivedResponse received = currentAttempt == null ? null : currentAttempt.received();
        if (received != null) {
            decisions.received(received);
            context.metrics().response(received.framing().text(), received.end().text());
        }
    }

    /** Returns the problem for a request whose attempts all failed. */
    Problem problemAfterAttempts(String detail) {
        if (!anyAttemptMayHaveRun) {
            return unavailable(detail);
        }
        Outcome outcome = route.idempotent() ? Outcome.FAILED : Outcome.UNKNOWN;
        int status = remainingMs() <= 0 ? HttpStatus.GATEWAY_TIMEOUT_504 : HttpStatus.BAD_GATEWAY_502;
        return new Problem(status, detail, outcome, route.idempotent() ? Duration.ofSeconds(1) : Duration.ZERO);
    }

    private static List<String> nameValuePairs(HttpFields headers) {
        List<String> pairs = new ArrayList<>();
        for (HttpField field : Headers.endToEnd(headers)) {
            pairs.add(field.getName());
            pairs.add(String.valueOf(field.getValue()));
        }
        return pairs;
    }

    /** Returns a random value of 96 bits, unique to this call. */
    static String nonce() {
        byte[] bytes = new byte[12];
        java.util.concurrent.ThreadLocalRandom.current().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns whether to retry after a failed attempt; may take a retry from the budget if so. */
    boolean shouldRetry(AttemptFailure.Kind failure, String region) {
        GroupId group = new GroupId(pool.name(), region);
        return !response.isCommitted()
                && body.isSendable()
                && !callerDisconnected
                && attempts < RetryPolicy.MAX_TOTAL_ATTEMPTS
                && !context.headroom().isOverloaded(group)
                && RetryPolicy.shouldRetry(
                        failure,
                        route.idempotent(),
                        attempts - unsentAttempts,
                        route.options().attempts(),
                        remainingMs(),
                        retryBudget);
    }

    /** Records the failure of an attempt. */
    void onAttemptFailed(AttemptFailure failure, String endpointId) {
        recordReceived();
        decisions.attemptFailed(failure);
        failedEndpoints.add(endpointId);
        anyAttemptMayHaveRun |= !failure.kind().isProvenNotRun();
        if (failure.kind().isUnsent()) {
            unsentAttempts++;
        }
    }

    /** Starts another attempt, after {@link #shouldRetry} returned true. */
    void retry() {
        framing.end(request);
        Headers.reset(response);
        context.metrics().retry(pool.name());
        acquire();
    }

    EntryContext context() {
        return context;
    }

    Pool pool() {
        return pool;
    }

    /** Returns the id that the caller gave the request, or null if there is none. */
    @Nullable
    String requestId() {
        return requestId;
    }

    /** Returns the object that the request is about, for sticky routes; otherwise empty. */
    String object() {
        return object;
    }
}
