package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.table.Tables;
import org.kohsuke.args4j.Option;

/** Makes table files the next version. */
final class TablesApply extends AdminSubcommand {
    @Option(name = "--folder", metaVar = "DIR", usage = "folder with routes.csv and pools.csv")
    private String folder = ".";

    @Option(name = "--base", metaVar = "N", usage = "version the files were made from; without it, the one in force")
    private long base = -1;

    @Option(name = "--edit-id", metaVar = "ID", usage = "id of an edit whose outcome was not known, to ask again")
    private String editId = "";

    @Option(name = "--author", metaVar = "NAME", usage = "who makes the edit, for the history")
    private String author = System.getProperty("user.name", "");

    @Option(name = "--wait", usage = "wait until the version is in force on all entry instances")
    private boolean wait;

    @Override
    String name() {
        return "tables apply";
    }

    @Override
    String summary() {
        return "Makes the files the next version of the tables.";
    }

    @Override
    ExitCode run() throws CommandException {
        Tables tables = TableRows.read(Path.of(folder));
        try (AdminClient client = client()) {
            String id = editId.isEmpty() ? UUID.randomUUID().toString() : editId;
            AdminClient.Answer answer = client.put("tables", TableCodec.document(tables), headers(client, id));
            if (answer.status() == 409) {
                return conflict(answer.json());
            }
            expectSuccess(answer);
            long version = answer.json().path("version").asLong();
            if (isJson()) {
                printJson(answer.json());
            } else {
                print(CliText.ACCEPTED, version, id);
            }
            return wait ? new InForce(this).await(client, version) : ExitCode.OK;
        }
    }

    private Map<String, String> headers(AdminClient client, String id) throws CommandException {
        long version = base;
        if (version < 0) {
            AdminClient.Answer current = client.get("tables", Map.of());
            expectSuccess(current);
            version = current.json().path("version").asLong();
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("If-Match", "\"" + version + "\"");
        headers.put("Edit-Id", id);
        headers.put("Author", author);
        return headers;
    }

    private ExitCode conflict(JsonNode json) throws CommandException {
        if (isJson()) {
            printJson(json);
            return ExitCode.CONFLICT;
        }
        print(CliText.CONFLICT, json.path("version").asLong(), json.path("base").asLong());
        print(CliText.THEIRS);
        print(TableRows.diff(json.path("theirs")).text());
        print(CliText.YOURS);
        print(TableRows.diff(json.path("yours")).text());
        return ExitCode.CONFLICT;
    }
}
