package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.TableFiles;
import org.cowsliplatch.table.Tables;
import org.cowsliplatch.table.TablesDiff;

/** Conversions between files, answers of the administration API, and tables. */
final class TableRows {
    private TableRows() {}

    static Tables read(Path folder) throws CommandException {
        try {
            return TableFiles.read(folder, List.of());
        } catch (TablesInvalidException e) {
            throw new CommandException(ExitCode.INVALID, e.text(), e);
        } catch (TableException e) {
            throw new CommandException(ExitCode.USAGE, e.text(), e);
        }
    }

    static Tables tables(AdminClient.Answer answer) throws CommandException {
        try {
            String document = Json.text(java.util.Map.of(
                    "routes",
                    answer.json().path("routes"),
                    "pools",
                    answer.json().path("pools")));
            return TableCodec.tables(Json.read(document, TableCodec.Document.class), List.of());
        } catch (IOException | TableException e) {
            throw new CommandException(ExitCode.INVALID, "the answer holds no tables: " + e.getMessage(), e);
        }
    }

    static TablesDiff diff(JsonNode rows) throws CommandException {
        try {
            return new TablesDiff(List.of(Json.MAPPER.treeToValue(rows, TablesDiff.RowDiff[].class)));
        } catch (IOException e) {
            throw new CommandException(ExitCode.INVALID, "the answer holds no diff: " + e.getMessage(), e);
        }
    }
}
