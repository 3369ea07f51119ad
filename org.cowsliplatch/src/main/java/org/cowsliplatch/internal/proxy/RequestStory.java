package org.cowsliplatch.internal.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.jspecify.annotations.Nullable;

/** The decisions on one request, in order, which its line in the log tells. */
final class RequestStory {
    /**
     * How the request ended.
     *
     * @param outcome what became of it
     * @param status status of the answer
     * @param detail reason, empty if it was answered
     * @param nanos time from its arrival
     */
    record End(String outcome, int status, String detail, long nanos) {}

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

    synchronized void failed(AttemptResult result) {
        if (!steps.isEmpty()) {
            Map<String, Object> step = steps.get(steps.size() - 1);
            step.put("failed", result.kind().name());
            step.put("reason", result.detail());
        }
    }

    synchronized void write(EntryContext context, Exchange exchange, End end) {
        DecisionLog.Line line = context.decisions().line("request");
        @Nullable String id = exchange.requestId();
        line.with("request", id == null ? "" : id)
                .with("route", exchange.route().name())
                .with("pool", exchange.pool().name())
                .with("rank", exchange.route().rank().text())
                .with("object", exchange.object())
                .with("version", context.view().get().tables().number())
                .with("outcome", end.outcome())
                .with("status", end.status())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(end.nanos()))
                .with("callerMs", exchange.callerMs())
                .with("sinceFirstMs", exchange.sinceFirstMs())
                .with("steps", List.copyOf(steps));
        if (!end.detail().isEmpty()) {
            line.with("reason", end.detail());
        }
        boolean usual = end.status() < 400 && steps.size() <= 1;
        line.write(usual ? DecisionLog.Weight.USUAL : DecisionLog.Weight.NOTABLE);
    }
}
