package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Shows accepted changes. */
final class TablesHistory extends AdminSubcommand {
    @Option(name = "--limit", metaVar = "N", usage = "most changes to show")
    private int limit = 20;

    @Override
    String name() {
        return "tables history";
    }

    @Override
    String summary() {
        return "Shows the latest accepted changes, oldest first.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer = client.get("tables/history", Map.of("limit", Integer.toString(limit)));
            expectSuccess(answer);
            if (isJson()) {
                printJson(answer.json());
                return ExitCode.OK;
            }
            for (JsonNode change : answer.json().path("changes")) {
                print(
                        "version %d, %s, by %s",
                        change.path("version").asLong(),
                        Instant.ofEpochMilli(change.path("acceptedAtMs").asLong()),
                        change.path("author").asText());
                print(TableRows.diff(change.path("diff").path("rows"))
                        .text()
                        .indent(2)
                        .stripTrailing());
            }
            return ExitCode.OK;
        }
    }
}
