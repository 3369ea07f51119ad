package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Shows the state of an entry instance. */
final class StatusCommand extends AdminSubcommand {
    @Override
    String name() {
        return "status";
    }

    @Override
    String summary() {
        return "Shows the state of an entry instance, its groups of endpoints and its peers.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer = client.get("status", Map.of());
            expectSuccess(answer);
            if (isJson()) {
                printJson(answer.json());
                return ExitCode.OK;
            }
            JsonNode json = answer.json();
            JsonNode instance = json.path("instance");
            print(
                    "%s in %s: %s, table version %d, %d requests in flight, %d key records",
                    instance.path("name").asText(),
                    instance.path("zone").asText(),
                    json.path("ready").asBoolean() ? "ready" : "not ready",
                    instance.path("tableVersion").asLong(),
                    json.path("requestsInFlight").asInt(),
                    json.path("keyRecords").asInt());
            for (JsonNode group : json.path("groups")) {
                print(
                        "  grants %s in %s: %d slots, %d free, %d outstanding, %d waiting",
                        group.path("pool").asText(),
                        group.path("region").asText(),
                        group.path("slots").asInt(),
                        group.path("free").asInt(),
                        group.path("outstanding").asInt(),
                        group.path("waiting").asInt());
            }
            for (JsonNode peer : json.path("peers")) {
                print(
                        "  peer %s in %s: table version %d%s",
                        peer.path("name").asText(),
                        peer.path("zone").asText(),
                        peer.path("tableVersion").asLong(),
                        peer.path("leaving").asBoolean() ? ", leaving" : "");
            }
            return ExitCode.OK;
        }
    }
}
