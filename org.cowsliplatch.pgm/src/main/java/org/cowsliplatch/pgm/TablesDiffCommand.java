package org.cowsliplatch.pgm;

import java.nio.file.Path;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.table.TablesDiff;
import org.kohsuke.args4j.Option;

/** Shows what an edit would change. */
final class TablesDiffCommand extends AdminSubcommand {
    @Option(name = "--folder", metaVar = "DIR", usage = "folder with routes.csv and pools.csv")
    private String folder = ".";

    @Override
    String name() {
        return "tables diff";
    }

    @Override
    String summary() {
        return "Shows what the files would change against the tables in force.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer =
                    client.post("tables/diff", TableCodec.document(TableRows.read(Path.of(folder))));
            expectSuccess(answer);
            if (isJson()) {
                printJson(answer.json());
                return ExitCode.OK;
            }
            TablesDiff diff = TableRows.diff(answer.json().path("rows"));
            if (diff.isEmpty()) {
                print(CliText.NO_CHANGE, answer.json().path("version").asLong());
            } else {
                print(diff.text());
            }
            return ExitCode.OK;
        }
    }
}
