package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Tells what happened to one request, from the logs of the entry instances. */
final class ExplainCommand extends Subcommand {
    @Argument(index = 0, metaVar = "ID", required = true, usage = "id of the request, as the caller sent it")
    private String id = "";

    @Argument(index = 1, metaVar = "LOG", required = true, multiValued = true, usage = "log files, any number")
    private List<String> files = new ArrayList<>();

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    @Override
    String name() {
        return "explain";
    }

    @Override
    String summary() {
        return "Tells from logs what happened to one request, and what was believed when it did.";
    }

    @Override
    ExitCode run() throws CommandException {
        RequestTrail trail = new RequestTrail(id);
        long unreadable = read(trail::findRequest);
        var unused = read(trail::findBelief);
        if (json) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put(
                    "requests", trail.requests().stream().map(LogLine::fields).toList());
            result.put("beliefs", trail.beliefs().stream().map(LogLine::fields).toList());
            result.put("unreadableLines", unreadable);
            printJson(result);
        } else {
            trail.requests().forEach(this::printRequest);
            trail.beliefs().forEach(this::printBelief);
            if (unreadable > 0) {
                print("%d lines are none of a decision log and were passed over", unreadable);
            }
        }
        if (trail.requests().isEmpty()) {
            throw new CommandException(
                    ExitCode.INVALID,
                    "no line tells of request '" + id + "'; name the logs of all entry instances, from before its time",
                    null);
        }
        return ExitCode.OK;
    }

    /** Offers each readable line of all files; returns how many were not. */
    private long read(Consumer<LogLine> sink) throws CommandException {
        long unreadable = 0;
        for (String file : files) {
            try (BufferedReader lines = open(Path.of(file))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    Optional<LogLine> parsed = LogLine.parse(line);
                    parsed.ifPresent(sink);
                    unreadable += parsed.isEmpty() ? 1 : 0;
                }
            } catch (IOException e) {
                throw new CommandException(ExitCode.INVALID, "log file '" + file + "' can't be read", e);
            }
        }
        return unreadable;
    }

    /** Opens a file; unlike {@code Files.newBufferedReader}, damaged bytes are replaced and hide no other line. */
    private static BufferedReader open(Path file) throws IOException {
        return new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8));
    }

    private void printRequest(LogLine line) {
        print(
                "%s %s: request %s on route %s (pool %s, rank %s, object '%s'), configuration %s",
                line.time(),
                line.instance(),
                id,
                line.text("route"),
                line.text("pool"),
                line.text("rank"),
                line.text("object"),
                line.text("version"));
        if (line.fields().path("sinceFirstMs").asLong() > 0) {
            print("  the caller came back: first tried about %s ms before", line.text("sinceFirstMs"));
        }
        int number = 1;
        for (JsonNode step : line.fields().path("steps")) {
            print("  %d. %s", number++, describe(step));
        }
        print(
                "  ended: status %s, %s, after %s ms of the %s ms that the caller gave%s",
                line.text("status"),
                line.text("outcome"),
                line.text("ms"),
                line.text("callerMs"),
                line.text("reason").isEmpty() ? "" : ": " + line.text("reason"));
        if (!line.text("callerEnd").isEmpty()) {
            print(
                    "  the caller got %s bytes of a body, framing %s, end: %s",
                    line.text("bytes"), line.text("framing"), line.text("callerEnd"));
        }
    }

    private static String describe(JsonNode step) {
        String wait = " after " + step.path("waitMs").asText() + " ms";
        String region = step.path("region").asText();
        if (step.has("refused")) {
            return "no slot in " + region + wait + ": " + step.path("refused").asText();
        }
        String slot = "slot of " + step.path("endpoint").asText() + " at "
                + step.path("address").asText() + " in " + region + wait + describeResponse(step.path("response"));
        String failure = step.path("failed").asText();
        return failure.isEmpty()
                ? slot
                : slot + "; " + failure + ": " + step.path("reason").asText();
    }

    private static String describeResponse(JsonNode response) {
        if (response.isMissingNode()) {
            return "";
        }
        return "; response %s with a body of %s bytes, framing %s, after a head of %s, of %s bytes read; server's end: %s"
                .formatted(
                        response.path("status").asText(),
                        response.path("bodyBytes").asText(),
                        response.path("framing").asText(),
                        response.path("headBytes").asText(),
                        response.path("connectionBytes").asText(),
                        response.path("serverEnd").asText());
    }

    private void printBelief(LogLine line) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : line.fields().properties()) {
            if (!List.of("time", "instance", "event").contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        print("%s %s believed by then: %s%s", line.time(), line.instance(), line.event(), text);
    }
}
