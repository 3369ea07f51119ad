package org.cowsliplatch.internal.table;

import java.io.IOException;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.TableVersion;

/** Format in which entry instances send whole tables to each other. */
public interface TablesFormat {
    /** {@link TableCodec.Document} as JSON, the same as in snapshots. */
    TablesFormat JSON = new TablesFormat() {
        @Override
        public String text(TableVersion version) {
            return Json.text(TableCodec.document(version.tables()));
        }

        @Override
        public TableVersion read(long number, String text) throws TableException {
            try {
                TableCodec.Document document = Json.read(text, TableCodec.Document.class);
                return new TableVersion(number, TableCodec.tables(document, List.of()));
            } catch (IOException e) {
                throw new TablesUnavailableException("the peer's tables are not valid JSON", e);
            }
        }
    };

    /** Encodes a version that is in force on this entry instance. */
    String text(TableVersion version);

    /**
     * Decodes a version.
     *
     * @param number number of the version
     * @param text encoded tables
     * @throws TableException if the text is malformed or breaks a rule
     */
    TableVersion read(long number, String text) throws TableException;
}
