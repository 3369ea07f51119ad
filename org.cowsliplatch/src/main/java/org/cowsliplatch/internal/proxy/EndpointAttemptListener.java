package org.cowsliplatch.internal.proxy;

import io.opentelemetry.api.trace.Span;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.platform.HttpDialect;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Handles the response to, or the failure of, one attempt of an {@link Exchange} at an endpoint. */
final class EndpointAttemptListener implements Attempt.Listener {
    /** Maximum length of an unreadable header value in the log, in characters. */
    private static final int MAX_LOGGED_CHARACTERS = 40;

    private final Exchange exchange;
    private final SlotSource.Lease lease;
    private final Span span;
    private int status;
    private boolean retrying;

    EndpointAttemptListener(Exchange exchange, SlotSource.Lease lease, Span span) {
        this.exchange = exchange;
        this.lease = lease;
        this.span = span;
    }

    @Override
    public AttemptFailure.@Nullable Kind validate(Response response) {
        AttemptFailure.Kind rejection = ResponseValidator.validate(
                exchange.context().dialect(), exchange.requestId(), response.getStatus(), response.getHeaders());
        if (rejection == null || rejection.isFromEndpoint()) {
            noticeLimit(response.getHeaders());
            noticeLeaving(response.getHeaders());
        }
        if (rejection != null || !retriesErrorResponse(response.getStatus())) {
            return rejection;
        }
        retrying = exchange.shouldRetry(
                AttemptFailure.Kind.FAILED_ANSWER, lease.endpoint().region());
        return retrying ? AttemptFailure.Kind.FAILED_ANSWER : null;
    }

    private void noticeLeaving(HttpFields headers) {
        HttpDialect dialect = exchange.context().dialect();
        HttpDialect.Announcement leaving = dialect.leaving().orElse(null);
        String value = leaving == null ? null : headers.get(leaving.header());
        if (leaving == null || value == null) {
            return;
        }
        exchange.leavingAnnounced(abbreviate(value));
        if (Headers.announcesLeaving(dialect, headers)) {
            lease.leavingAnnounced();
        } else {
            logUnreadable(
                    "endpoint-leaving-unreadable",
                    value,
                    "expected " + leaving.value() + "; the endpoint is not taken for leaving");
        }
    }

    private void noticeLimit(HttpFields headers) {
        String header = exchange.context().dialect().serverLimit().orElse(null);
        if (header == null) {
            return;
        }
        String value = headers.get(header);
        LimitNotice notice = LimitNotice.parse(value);
        if (value != null && notice.kind() == LimitNotice.Kind.UNKNOWN) {
            logUnreadable(
                    "endpoint-limit-unreadable", value, "expected a decimal number of requests per second, 0 or more");
        }
        lease.limitNoticed(notice);
    }

    private void logUnreadable(String event, String value, String reason) {
        exchange.context()
                .decisionLog()
                .line(event)
                .with("endpoint", lease.endpoint().id())
                .with("value", abbreviate(value))
                .with("reason", reason)
                .write(DecisionLog.Weight.USUAL);
    }

    private static String abbreviate(String value) {
        return value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARACTERS));
    }

    private boolean retriesErrorResponse(int responseStatus) {
        return HttpStatus.isServerError(responseStatus)
                && exchange.route().idempotent()
                && exchange.context().dialect().identity().isPresent();
    }

    @Override
    public void onResponse(Response response, Content.Source content, Callback completion) {
        status = response.getStatus();
        FlowPacer pacer = exchange.pacerFrom(lease.endpoint().region());
        Content.copy(content, exchange.openSink(status, response.getHeaders(), pacer), completion);
    }

    @Override
    public void onResponseComplete(HttpFields headers) {
        lease.release(outcome());
        span.setAttribute("http.response.status_code", (long) status);
        span.end();
        exchange.context().metrics().attempt(exchange.pool().name(), "answered");
        exchange.finishWithResponse(status, headers);
    }

    private SlotOutcome outcome() {
        boolean failed = HttpStatus.isServerError(status)
                && exchange.context().dialect().identity().isPresent();
        return failed ? SlotOutcome.FAILED : SlotOutcome.ANSWERED;
    }

    @Override
    public void onFailure(AttemptFailure failure, boolean responseStarted) {
        lease.release(failure.kind().slotOutcome());
        Tracing.fail(span, failure.detail());
        exchange.context()
                .metrics()
                .attempt(exchange.pool().name(), failure.kind().name());
        exchange.onAttemptFailed(failure, lease.endpoint().id());
        if (retrying || exchange.shouldRetry(failure.kind(), lease.endpoint().region())) {
            exchange.retry();
            return;
        }
        exchange.finish(problem(failure));
    }

    private Problem problem(AttemptFailure failure) {
        if (failure.kind() == AttemptFailure.Kind.BODY_FAILED) {
            Outcome outcome = exchange.route().idempotent() ? Outcome.FAILED : Outcome.UNKNOWN;
            return Problem.of(
                    HttpStatus.BAD_REQUEST_400, outcome, "reading the request body failed: " + failure.detail());
        }
        return exchange.problemAfterAttempts(failure.detail());
    }
}
