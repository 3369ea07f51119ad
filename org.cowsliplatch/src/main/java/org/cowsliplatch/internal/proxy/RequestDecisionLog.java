package org.cowsliplatch.internal.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.jspecify.annotations.Nullable;

/** Collects the decisions on one request, in order, and writes them as one line of the decision log. */
final class RequestDecisionLog {
    /**
     * End of the request.
     *
     * @param outcome {@code answered}, {@code replayed}, or the text of the {@link Outcome}
     * @param status status of the response
     * @param detail reason for a failure, empty if there was none
     * @param nanos time in ns since the request arrived
     * @param delivery what the caller got
     */
    record Completion(String outcome, int status, String detail, long nanos, Delivery delivery) {}

    /**
     * What a caller got of a response.
     *
     * @param framing how the end of the body is told
     * @param bytes length of the body, in bytes
     * @param end how the response ended
     */
    record Delivery(String framing, long bytes, End end) {
        Delivery {
            if (bytes < 0) {
                throw new IllegalArgumentException("negative number of bytes: " + bytes);
            }
        }

        /** Ends of a response, as the caller sees them. */
        enum End {
            /** The whole response of a backend server, or a recorded one. */
            COMPLETE("complete"),
            /** A problem in place of a backend server's response. */
            PROBLEM("problem"),
            /** The response was cut off; neither a length, a last chunk nor an orderly end makes it look complete. */
            CUT("cut"),
            /** The caller disconnected first. */
            CALLER_LEFT("caller-left");

            private final String text;

            End(String text) {
                this.text = text;
            }

            /** Returns the name for logs. */
            String text() {
                return text;
            }
        }
    }

    private final List<Map<String, Object>> steps = new ArrayList<>();

    synchronized void granted(String region, Endpoint endpoint, long waitedNanos) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("endpoint", endpoint.id());
        step.put("address", endpoint.address());
        step.put("zone", endpoint.zone());
        step.put("region", region);
        step.put("waitMs", TimeUnit.NANOSECONDS.toMillis(waitedNanos));
        steps.add(step);
    }

    synchronized void refused(String region, Refusal why, long waitedNanos) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("refused", why.name());
        step.put("region", region);
        step.put("waitMs", TimeUnit.NANOSECONDS.toMillis(waitedNanos));
        steps.add(step);
    }

    synchronized void refusedByRate(String region, RateBound bound, long waitedNanos) {
        refused(region, Refusal.RATE_LIMITED, waitedNanos);
        Map<String, Object> step = steps.get(steps.size() - 1);
        step.put("perSecond", bound.perSecond());
        step.put("limitedEndpoints", bound.limitedEndpoints());
        step.put("limitAgeMs", TimeUnit.NANOSECONDS.toMillis(bound.ageNanos()));
        step.put("rateShare", bound.share());
        step.put("roomInMs", TimeUnit.NANOSECONDS.toMillis(bound.roomInNanos()));
    }

    synchronized void attemptFailed(AttemptFailure failure) {
        if (!steps.isEmpty()) {
            Map<String, Object> step = steps.get(steps.size() - 1);
            step.put("failed", failure.kind().name());
            step.put("reason", failure.detail());
        }
    }

    /** Adds what the response says about the leaving of its endpoint to the attempt that was granted last. */
    synchronized void leavingAnnounced(String value) {
        if (!steps.isEmpty()) {
            steps.get(steps.size() - 1).put("leavingAnnounced", value);
        }
    }

    /** Adds what was read of the response to the attempt that was granted last. */
    synchronized void received(ReceivedResponse response) {
        if (!steps.isEmpty()) {
            steps.get(steps.size() - 1).put("response", response.fields());
        }
    }

    /** Adds what is known of the leaving of a step's endpoint, and for how long it was known. */
    private static void addLeaving(EntryContext context, Map<String, Object> step) {
        if (!(step.get("endpoint") instanceof String endpoint)) {
            return;
        }
        context.leaving()
                .find(endpoint)
                .ifPresent(mark -> step.put(
                        "leaving",
                        Map.of(
                                "source",
                                mark.source().name(),
                                "ageMs",
                                TimeUnit.NANOSECONDS.toMillis(context.ticker().nanos() - mark.sinceNanos()))));
    }

    synchronized void write(EntryContext context, Exchange exchange, Completion completion) {
        steps.forEach(step -> addLeaving(context, step));
        DecisionLog.Line line = context.decisionLog().line("request");
        @Nullable String id = exchange.requestId();
        line.with("request", id == null ? "" : id)
                .with("route", exchange.route().name())
                .with("pool", exchange.pool().name())
                .with("rank", exchange.route().rank().text())
                .with("object", exchange.object())
                .with("version", exchange.tablesNumber())
                .with("tables", exchange.tablesOrigin().fields())
                .with("outcome", completion.outcome())
                .with("status", completion.status())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(completion.nanos()))
                .with("callerMs", exchange.callerTimeoutMs())
                .with("sinceFirstMs", exchange.sinceFirstMs())
                .with("steps", List.copyOf(steps))
                .with("framing", completion.delivery().framing())
                .with("bytes", completion.delivery().bytes())
                .with("callerEnd", completion.delivery().end().text());
        if (!completion.detail().isEmpty()) {
            line.with("reason", completion.detail());
        }
        boolean routine = completion.status() < 400 && steps.size() <= 1;
        line.write(routine ? DecisionLog.Weight.USUAL : DecisionLog.Weight.NOTABLE);
    }
}
