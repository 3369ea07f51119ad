package org.cowsliplatch.pgm;

import java.nio.file.Path;
import java.util.Map;
import org.cowsliplatch.table.Tables;
import org.kohsuke.args4j.Option;

/** Checks table files without asking anyone. */
final class TablesCheck extends Subcommand {
    @Option(name = "--folder", metaVar = "DIR", usage = "folder with routes.csv and pools.csv")
    private String folder = ".";

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    @Override
    String name() {
        return "tables check";
    }

    @Override
    String summary() {
        return "Checks routes.csv and pools.csv and tells every problem.";
    }

    @Override
    ExitCode run() throws CommandException {
        Tables tables = TableRows.read(Path.of(folder));
        if (json) {
            printJson(Map.of(
                    "routes", tables.routes().size(), "pools", tables.pools().size()));
        } else {
            print(CliText.TABLES_FINE, tables.routes().size(), tables.pools().size());
        }
        return ExitCode.OK;
    }
}
