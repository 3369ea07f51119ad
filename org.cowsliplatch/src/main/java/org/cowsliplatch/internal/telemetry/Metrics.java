package org.cowsliplatch.internal.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;
import org.cowsliplatch.table.Rank;

/** Counters, gauges and histograms of one entry instance, in a registry of its own. */
public final class Metrics {
    private static final double[] LATENCY_BOUNDS_S = {
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = counter("cowsliplatch_requests_total", "Requests by rank and outcome")
            .labelNames("rank", "outcome")
            .register(registry);
    private final Counter refusals = counter("cowsliplatch_refusals_total", "Requests that got no slot, by reason")
            .labelNames("rank", "reason")
            .register(registry);
    private final Counter attempts = counter("cowsliplatch_attempts_total", "Attempts at backend servers, by result")
            .labelNames("pool", "result")
            .register(registry);
    private final Counter responses = counter(
                    "cowsliplatch_responses_total",
                    "Responses of backend servers, by how the body is delimited and how the server ended the connection")
            .labelNames("framing", "end")
            .register(registry);
    private final Counter retries = counter("cowsliplatch_retries_total", "Repeated attempts")
            .labelNames("pool")
            .register(registry);
    private final Counter lookups =
            counter("cowsliplatch_lookups_total", "Look-up answers").register(registry);
    private final Counter keyClaims = counter("cowsliplatch_key_claims_total", "Idempotency keys by decision")
            .labelNames("decision")
            .register(registry);
    private final Counter alarms = counter("cowsliplatch_alarms_total", "Events that an operator must look at")
            .labelNames("alarm")
            .register(registry);
    private final Counter storeOperations = counter(
                    "cowsliplatch_store_operations_total", "Operations on the platform's services")
            .labelNames("purpose", "result")
            .register(registry);
    private final Histogram queueWait = Histogram.builder()
            .name("cowsliplatch_queue_wait_seconds")
            .help("Wait for a slot")
            .labelNames("rank")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS_S)
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("cowsliplatch_request_seconds")
            .help("Time from the arrival of a request to the end of its answer")
            .labelNames("rank")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS_S)
            .register(registry);
    private final Gauge tableVersion = Gauge.builder()
            .name("cowsliplatch_table_version")
            .help("Table version in force")
            .register(registry);

    private static Counter.Builder counter(String name, String help) {
        return Counter.builder().name(name).help(help);
    }

    /** Records a completed request and its duration. */
    public void request(Rank rank, String outcome, double seconds) {
        requests.labelValues(rank.text(), outcome).inc();
        duration.labelValues(rank.text()).observe(seconds);
    }

    /** Counts a request that got no slot. */
    public void refusal(Rank rank, String reason) {
        refusals.labelValues(rank.text(), reason).inc();
    }

    /** Counts a completed attempt. */
    public void attempt(String pool, String result) {
        attempts.labelValues(pool, result).inc();
    }

    /** Counts a response of a backend server, whole or not. */
    public void response(String framing, String end) {
        responses.labelValues(framing, end).inc();
    }

    /** Counts a repeated attempt. */
    public void retry(String pool) {
        retries.labelValues(pool).inc();
    }

    /** Counts a look-up answer. */
    public void lookup() {
        lookups.inc();
    }

    /** Counts a decision on an idempotency key. */
    public void keyClaim(String decision) {
        keyClaims.labelValues(decision).inc();
    }

    /** Counts an event that an operator must look at. */
    public void alarm(String alarm) {
        alarms.labelValues(alarm).inc();
    }

    /** Counts an operation on a service of the platform. */
    public void storeOperation(String purpose, String result) {
        storeOperations.labelValues(purpose, result).inc();
    }

    /** Records the time that a request waited for a slot. */
    public void queueWait(Rank rank, double seconds) {
        queueWait.labelValues(rank.text()).observe(seconds);
    }

    /** Sets the table version in force. */
    public void tableVersion(long version) {
        tableVersion.set((double) version);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toByteArray();
    }
}
