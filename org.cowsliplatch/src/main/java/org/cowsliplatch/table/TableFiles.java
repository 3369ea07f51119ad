package org.cowsliplatch.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.csv.CsvGenerator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.errors.TablesUnavailableException;

/** Reads and writes the tables as {@code routes.csv} and {@code pools.csv} in one folder; lines starting with # are comments. */
public final class TableFiles {
    private static final String ROUTES = "routes.csv";
    private static final String POOLS = "pools.csv";
    private static final CsvMapper MAPPER = CsvMapper.builder()
            .enable(CsvParser.Feature.WRAP_AS_ARRAY)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .enable(CsvParser.Feature.TRIM_SPACES)
            .disable(CsvGenerator.Feature.ALWAYS_QUOTE_STRINGS)
            .build();

    private TableFiles() {}

    /**
     * Reads and validates both tables.
     *
     * @param folder folder with the two files
     * @param regions known regions; empty if they can't be checked
     * @throws TableException if a file can't be read or any rule is broken; lists every problem
     */
    public static Tables read(Path folder, Collection<String> regions) throws TableException {
        List<RawRow> routes = rows(folder.resolve(ROUTES), "routes");
        List<RawRow> pools = rows(folder.resolve(POOLS), "pools");
        return TableParser.parse(routes, pools, regions);
    }

    /**
     * Writes both tables.
     *
     * @param folder folder for the two files, created if missing
     * @param tables tables to write
     * @throws TableException if a file can't be written
     */
    public static void write(Path folder, Tables tables) throws TableException {
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve(ROUTES), routesText(tables));
            Files.writeString(folder.resolve(POOLS), poolsText(tables));
        } catch (IOException e) {
            throw new TablesUnavailableException(folder + " can't be written: " + e.getMessage(), e);
        }
    }

    /** Returns the route table as CSV. */
    public static String routesText(Tables tables) {
        return text(
                RowCodec.ROUTE_COLUMNS,
                tables.routes().values().stream().map(RowCodec::columns).toList());
    }

    /** Returns the pool table as CSV. */
    public static String poolsText(Tables tables) {
        return text(
                RowCodec.POOL_COLUMNS,
                tables.pools().values().stream().map(RowCodec::columns).toList());
    }

    /**
     * Parses the rows of a table from CSV.
     *
     * @param text content of the file
     * @param table name of the table, for messages
     * @throws TablesInvalidException if the text is not CSV with a header line
     */
    public static List<RawRow> rows(String text, String table) throws TablesInvalidException {
        List<RawRow> rows = new ArrayList<>();
        ObjectReader reader =
                MAPPER.readerFor(String[].class).with(CsvSchema.emptySchema().withComments());
        try (MappingIterator<String[]> lines = reader.readValues(text)) {
            String[] header = null;
            while (lines.hasNextValue()) {
                int line = lines.getCurrentLocation().getLineNr();
                String[] cells = lines.nextValue();
                if (header == null) {
                    header = cells;
                } else {
                    rows.add(row(table, line, header, cells));
                }
            }
            if (header == null) {
                throw invalid(table, 1, "has no header line", "write the column names in the first line");
            }
            return rows;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw invalid(table, line, "is not valid CSV: " + e.getOriginalMessage(), "check commas and quotes");
        } catch (IOException e) {
            throw invalid(table, 1, "can't be read: " + e.getMessage(), "check the file");
        }
    }

    private static RawRow row(String table, int line, String[] header, String[] cells) throws TablesInvalidException {
        if (cells.length != header.length) {
            throw invalid(
                    table,
                    line,
                    "has " + cells.length + " cells under " + header.length + " columns",
                    "separate the cells by commas, and put a cell with a comma in quotes");
        }
        Map<String, String> columns = new LinkedHashMap<>();
        for (int i = 0; i < cells.length; i++) {
            columns.put(header[i], cells[i]);
        }
        return new RawRow(line, columns);
    }

    private static List<RawRow> rows(Path file, String table) throws TableException {
        try {
            return rows(Files.readString(file), table);
        } catch (IOException e) {
            throw new TablesUnavailableException(file + " can't be read: " + e.getMessage(), e);
        }
    }

    private static TablesInvalidException invalid(String table, int line, String what, String remedy) {
        return new TablesInvalidException(List.of(new TableProblem(table, line, "", "", what, remedy)));
    }

    private static String text(List<String> columns, List<Map<String, String>> rows) {
        CsvSchema.Builder schema = CsvSchema.builder().setUseHeader(true);
        columns.forEach(schema::addColumn);
        try {
            return MAPPER.writer(schema.build()).writeValueAsString(rows);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a table can't be encoded as CSV", e);
        }
    }
}
