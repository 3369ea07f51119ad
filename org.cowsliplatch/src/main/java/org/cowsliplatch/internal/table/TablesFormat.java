package org.cowsliplatch.internal.table;

import java.io.IOException;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.TableVersion;

/** Form in which entry instances send each other whole tables. */
public interface TablesFormat {
    /** Rows of text, as in the product's own store. */
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
                throw new TablesUnavailableException("the peer's tables are damaged", e);
            }
        }
    };

    /** Returns the text of a version that is in force here. */
    String text(TableVersion version);

    /**
     * Reads the text of a version.
     *
     * @throws TableException if the text is damaged or breaks a rule
     */
    TableVersion read(long number, String text) throws TableException;
}
