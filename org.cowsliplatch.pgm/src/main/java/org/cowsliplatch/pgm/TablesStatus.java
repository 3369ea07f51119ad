package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Shows which version is in force on each entry instance. */
final class TablesStatus extends AdminSubcommand {
    @Option(name = "--wait", metaVar = "N", usage = "wait until version N is in force on all entry instances")
    private long version = -1;

    @Override
    String name() {
        return "tables status";
    }

    @Override
    String summary() {
        return "Shows which table version is in force on each entry instance.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            InForce inForce = new InForce(this);
            if (version >= 0) {
                return inForce.await(client, version);
            }
            List<JsonNode> instances = inForce.instances(client);
            if (isJson()) {
                printJson(instances);
                return ExitCode.OK;
            }
            for (JsonNode instance : instances) {
                print(
                        "%-24s version %d%s",
                        instance.path("name").asText(),
                        instance.path("tableVersion").asLong(),
                        instance.path("leaving").asBoolean() ? " (leaving)" : "");
            }
            return ExitCode.OK;
        }
    }
}
