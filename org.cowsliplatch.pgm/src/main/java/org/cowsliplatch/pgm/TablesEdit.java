package org.cowsliplatch.pgm;

import java.nio.file.Path;
import java.util.Map;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.table.TableFiles;
import org.kohsuke.args4j.Option;

/** Writes the tables in force into files for an edit. */
final class TablesEdit extends AdminSubcommand {
    @Option(name = "--folder", metaVar = "DIR", usage = "folder for routes.csv and pools.csv")
    private String folder = "tables";

    @Override
    String name() {
        return "tables edit";
    }

    @Override
    String summary() {
        return "Writes the tables in force into files to edit.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer = client.get("tables", Map.of());
            expectSuccess(answer);
            TableFiles.write(Path.of(folder), TableRows.tables(answer));
            long version = answer.json().path("version").asLong();
            if (isJson()) {
                printJson(Map.of("version", version, "folder", folder));
            } else {
                print(CliText.TABLES_WRITTEN, version, folder, folder, version);
            }
            return ExitCode.OK;
        } catch (TableException e) {
            throw new CommandException(ExitCode.USAGE, e.text(), e);
        }
    }
}
