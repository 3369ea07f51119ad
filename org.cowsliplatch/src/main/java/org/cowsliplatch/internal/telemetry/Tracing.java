package org.cowsliplatch.internal.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Creates the spans of a request: receive, queue, attempt, forward, store. */
public final class Tracing implements AutoCloseable {
    private static final TextMapGetter<HttpFields> GETTER = new TextMapGetter<>() {
        @Override
        @SuppressWarnings("deprecation") // The interface still requires this method.
        public Iterable<String> keys(HttpFields headers) {
            return List.copyOf(headers.getFieldNamesCollection());
        }

        @Override
        public @Nullable String get(@Nullable HttpFields headers, String key) {
            return headers == null ? null : headers.get(key);
        }
    };

    private final SpanRing ring = new SpanRing();
    private final SdkTracerProvider provider;
    private final Tracer tracer;

    /**
     * Creates tracing for one entry instance.
     *
     * @param instance name of the entry instance
     * @param otlp URI of the OTLP collector to export all spans to, or empty
     */
    public Tracing(String instance, Optional<URI> otlp) {
        Attributes attributes = Attributes.of(
                AttributeKey.stringKey("service.name"),
                "cowsliplatch",
                AttributeKey.stringKey("service.instance.id"),
                instance);
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder()
                .setResource(Resource.create(attributes))
                .addSpanProcessor(SimpleSpanProcessor.create(ring));
        otlp.ifPresent(uri -> builder.addSpanProcessor(BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder()
                        .setEndpoint(uri.toString())
                        .build())
                .build()));
        provider = builder.build();
        tracer = provider.get("org.cowsliplatch");
    }

    /** Starts the span of a received request, as child of the caller's span if the headers carry one. */
    public Span receive(HttpFields headers, String method, String path) {
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
        return tracer.spanBuilder("receive")
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .setAttribute("http.request.method", method)
                .setAttribute("url.path", path)
                .startSpan();
    }

    /** Starts a child span. */
    public Span child(Span parent, String name, SpanKind kind) {
        return tracer.spanBuilder(name)
                .setParent(Context.root().with(parent))
                .setSpanKind(kind)
                .startSpan();
    }

    /** Passes the headers that propagate a span to the next hop, as names and values, to a consumer. */
    public void inject(Span span, BiConsumer<String, String> headers) {
        W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), headers, (carrier, name, value) -> {
            if (carrier != null) {
                carrier.accept(name, value);
            }
        });
    }

    /** Marks a span as failed and ends it. */
    public static void fail(Span span, String reason) {
        span.setStatus(StatusCode.ERROR, reason);
        span.end();
    }

    /** Returns the spans kept in memory. */
    public SpanRing ring() {
        return ring;
    }

    @Override
    public void close() {
        provider.close();
    }
}
