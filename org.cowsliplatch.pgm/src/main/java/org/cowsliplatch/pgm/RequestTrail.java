package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One request's way through the logs of several entry instances, with what the instance that had it believed by then.
 *
 * <p>Lines are offered twice: first all of them to find the request, then again to find what bears on it.
 */
final class RequestTrail {
    /** Events that change what an instance believes of more than one endpoint. */
    private static final Set<String> BELIEFS = Set.of(
            "configuration-in-force",
            "evacuation",
            "evacuation-ended",
            "store-lost",
            "store-regained",
            "store-followed",
            "peer-gone",
            "start",
            "stop");

    private final String id;
    private final List<LogLine> requests = new ArrayList<>();
    private final Set<String> endpoints = new HashSet<>();
    /** The last line before the end of the request, by event and subject. */
    private final Map<String, LogLine> beliefs = new TreeMap<>();

    RequestTrail(String id) {
        this.id = id;
    }

    /** Looks whether a line tells the end of the request. */
    void findRequest(LogLine line) {
        if (!line.event().equals("request") || !line.text("request").equals(id)) {
            return;
        }
        requests.add(line);
        requests.sort(Comparator.comparing(LogLine::time));
        for (JsonNode step : line.fields().path("steps")) {
            endpoints.add(rowOf(step.path("endpoint").asText()));
        }
        endpoints.remove("");
    }

    /** Looks whether a line tells what the instance believed when it had the request. */
    void findBelief(LogLine line) {
        for (LogLine request : requests) {
            boolean earlier = !line.time().isAfter(request.time());
            if (!earlier || !line.instance().equals(request.instance())) {
                continue;
            }
            boolean ofEndpoint =
                    line.event().startsWith("endpoint-") && endpoints.contains(rowOf(line.text("endpoint")));
            if (ofEndpoint || BELIEFS.contains(line.event())) {
                String subject = line.text("endpoint") + line.text("peer") + line.text("zone") + line.text("table");
                beliefs.merge(line.event() + " " + subject, line, RequestTrail::later);
            }
        }
    }

    /** Returns the name of an endpoint's row, which is the part before the mark of its start. */
    private static String rowOf(String endpoint) {
        return endpoint.split("~", 2)[0];
    }

    private static LogLine later(LogLine a, LogLine b) {
        return b.time().isBefore(a.time()) ? a : b;
    }

    /** Returns the lines that tell the end of the request, oldest first; usually one. */
    List<LogLine> requests() {
        return List.copyOf(requests);
    }

    /** Returns what was believed, oldest first. */
    List<LogLine> beliefs() {
        return beliefs.values().stream()
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
    }
}
