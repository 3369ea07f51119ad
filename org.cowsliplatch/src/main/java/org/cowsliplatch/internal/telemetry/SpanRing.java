package org.cowsliplatch.internal.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Ring buffer of the latest spans, so that a request can be traced without a collector. */
public final class SpanRing implements SpanExporter {
    private static final int MAX_SPANS = 4_096;

    /**
     * A span in readable form.
     *
     * @param traceId id of the trace, hexadecimal
     * @param spanId id of the span, hexadecimal
     * @param parentSpanId id of the parent span, zeros if none
     * @param name name of the operation
     * @param startMicros start, in µs since 1970
     * @param durationMicros duration in µs
     * @param status {@code OK}, {@code ERROR} or {@code UNSET}
     * @param attributes attributes by key
     */
    public record SpanText(
            String traceId,
            String spanId,
            String parentSpanId,
            String name,
            long startMicros,
            long durationMicros,
            String status,
            Map<String, String> attributes) {}

    private final Deque<SpanData> spans = new ArrayDeque<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
        synchronized (spans) {
            spans.addAll(batch);
            while (spans.size() > MAX_SPANS) {
                spans.removeFirst();
            }
        }
        return CompletableResultCode.ofSuccess();
    }

    /** Returns the spans of a trace that are still in the buffer, in order of start. */
    public List<SpanText> trace(String traceId) {
        synchronized (spans) {
            return spans.stream()
                    .filter(span -> span.getTraceId().equals(traceId))
                    .sorted(Comparator.comparingLong(SpanData::getStartEpochNanos))
                    .map(SpanRing::text)
                    .toList();
        }
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }

    private static SpanText text(SpanData span) {
        Map<String, String> attributes = new TreeMap<>();
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
        return new SpanText(
                span.getTraceId(),
                span.getSpanId(),
                span.getParentSpanId(),
                span.getName(),
                span.getStartEpochNanos() / 1_000,
                (span.getEndEpochNanos() - span.getStartEpochNanos()) / 1_000,
                span.getStatus().getStatusCode().name(),
                attributes);
    }
}
