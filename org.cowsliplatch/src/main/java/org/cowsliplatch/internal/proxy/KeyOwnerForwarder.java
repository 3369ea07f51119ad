package org.cowsliplatch.internal.proxy;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Forwards a request to the entry instance that owns its idempotency key, and the response to the caller. */
final class KeyOwnerForwarder implements Attempt.Listener {
    private final EntryContext context;
    private final Exchange exchange;
    private final String address;
    private final Span span;
    private int status;

    KeyOwnerForwarder(EntryContext context, Exchange exchange, String address) {
        this.context = context;
        this.exchange = exchange;
        this.address = address;
        this.span = context.tracing().child(exchange.span(), "forward", SpanKind.CLIENT);
    }

    void send() {
        long remainingMs = exchange.remainingMs();
        if (remainingMs <= 0 || !exchange.body().isSendable()) {
            onFailure(
                    new AttemptFailure(
                            AttemptFailure.Kind.CANCELLED,
                            "the deadline has passed or the request body was already read"),
                    false);
            return;
        }
        Request request = exchange.nextHopRequest(address, null, span, remainingMs)
                .headers(fields -> fields.put(Headers.FORWARDED_BY, context.instanceName()));
        String type = exchange.requestHeaders().get(HttpHeader.CONTENT_TYPE);
        new Attempt(address, this).send(request, exchange.body(), type, null, remainingMs);
    }

    @Override
    public AttemptFailure.@Nullable Kind validate(Response response) {
        return ResponseValidator.validate(Headers.DEFAULT_DIALECT, null, response.getStatus(), response.getHeaders());
    }

    @Override
    public void onResponse(Response response, Content.Source content, Callback completion) {
        status = response.getStatus();
        Content.copy(content, exchange.openSink(status, response.getHeaders(), null), completion);
    }

    @Override
    public void onResponseComplete(HttpFields headers) {
        span.end();
        exchange.finishWithResponse(status, headers);
    }

    @Override
    public void onFailure(AttemptFailure failure, boolean responseStarted) {
        Tracing.fail(span, failure.detail());
        exchange.finish(Problem.of(
                HttpStatus.GATEWAY_TIMEOUT_504,
                Outcome.UNKNOWN,
                "no response from the entry instance that owns this idempotency key: " + failure.detail()));
    }
}
