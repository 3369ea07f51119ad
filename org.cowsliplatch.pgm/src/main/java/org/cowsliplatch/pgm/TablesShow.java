package org.cowsliplatch.pgm;

import java.util.Map;
import org.cowsliplatch.table.TableFiles;
import org.cowsliplatch.table.Tables;

/** Shows the tables in force. */
final class TablesShow extends AdminSubcommand {
    @Override
    String name() {
        return "tables show";
    }

    @Override
    String summary() {
        return "Shows the tables in force.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer = client.get("tables", Map.of());
            expectSuccess(answer);
            if (isJson()) {
                printJson(answer.json());
                return ExitCode.OK;
            }
            Tables tables = TableRows.tables(answer);
            print("# version %d", answer.json().path("version").asLong());
            print("# routes");
            print(TableFiles.routesText(tables).stripTrailing());
            print("# pools");
            print(TableFiles.poolsText(tables).stripTrailing());
            return ExitCode.OK;
        }
    }
}
