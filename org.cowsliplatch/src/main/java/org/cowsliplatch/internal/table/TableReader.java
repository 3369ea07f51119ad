package org.cowsliplatch.internal.table;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.platform.ObjectStore;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;

/** Read-only access to the tables in the platform's store. */
public final class TableReader {
    private static final int PAGE_SIZE = 200;

    private final TableService rows;
    private final ObjectStore objects;

    /**
     * Creates a reader.
     *
     * @param rows table service that stores heads and changes
     * @param objects object store for snapshots
     */
    public TableReader(TableService rows, ObjectStore objects) {
        this.rows = rows;
        this.objects = objects;
    }

    /**
     * Returns the head, or {@link TableHead#NONE} if nothing has been accepted yet.
     *
     * @throws TablesUnavailableException if the store is unavailable
     */
    public TableHead head() throws TablesUnavailableException {
        Optional<TableService.Row> row = row(TableKeys.HEAD);
        return row.isEmpty() ? TableHead.NONE : TableCodec.head(row.get().value());
    }

    /**
     * Returns the changes after a version, oldest first.
     *
     * @param version version after which to start
     * @param limit maximum number of changes to return
     * @throws TablesUnavailableException if the store is unavailable
     */
    public List<TableChange> changesAfter(long version, int limit) throws TablesUnavailableException {
        List<TableChange> changes = new ArrayList<>();
        long from = version + 1;
        while (changes.size() < limit) {
            int page = Math.min(PAGE_SIZE, limit - changes.size());
            List<TableService.Row> found = scan(from, page);
            for (TableService.Row row : found) {
                changes.add(TableCodec.change(row.value()));
            }
            if (found.size() < page) {
                break;
            }
            from += page;
        }
        return changes;
    }

    /**
     * Returns the change of an edit, or empty if the edit was not accepted.
     *
     * @throws TablesUnavailableException if the store is unavailable
     */
    public Optional<TableChange> changeOf(String editId) throws TablesUnavailableException {
        Optional<TableService.Row> row = row(TableKeys.edit(editId));
        if (row.isEmpty()) {
            return Optional.empty();
        }
        long version = Long.parseLong(row.get().value());
        List<TableChange> changes = changesAfter(version - 1, 1);
        return changes.isEmpty() ? Optional.empty() : Optional.of(changes.get(0));
    }

    /**
     * Returns the newest tables, from the latest snapshot and the changes after it.
     *
     * @throws TableException if the store is unavailable or its tables are corrupt
     */
    public TableVersion current() throws TableException {
        return at(head().version());
    }

    /**
     * Returns the tables of one version.
     *
     * @throws TableException if the store is unavailable or its tables are corrupt
     */
    public TableVersion at(long version) throws TableException {
        TableVersion base = snapshotUpTo(version);
        Tables tables = base.tables();
        long number = base.number();
        for (TableChange change : changesAfter(number, (int) (version - number))) {
            tables = change.applyTo(tables);
            number = change.version();
        }
        if (number != version) {
            throw new TablesUnavailableException("change " + (number + 1) + " is missing from the store", null);
        }
        return new TableVersion(number, tables);
    }

    /** Returns the latest snapshot, or {@link TableVersion#NONE} if it is newer than a version or there is none. */
    TableVersion snapshotUpTo(long version) throws TableException {
        Optional<TableService.Row> pointer = row(TableKeys.LATEST_SNAPSHOT);
        if (pointer.isEmpty()) {
            return TableVersion.NONE;
        }
        long latest = Long.parseLong(pointer.get().value());
        if (latest > version) {
            return TableVersion.NONE;
        }
        try {
            Optional<byte[]> content = objects.read(TableKeys.snapshot(latest));
            if (content.isEmpty()) {
                return TableVersion.NONE;
            }
            TableCodec.Document document = Json.read(content.get(), TableCodec.Document.class);
            return new TableVersion(latest, TableCodec.tables(document, List.of()));
        } catch (PlatformUnavailableException | IOException e) {
            throw new TablesUnavailableException("snapshot " + latest + " could not be read", e);
        }
    }

    Optional<TableService.Row> row(String key) throws TablesUnavailableException {
        try {
            return rows.read(key);
        } catch (PlatformUnavailableException e) {
            throw new TablesUnavailableException("row " + key + " could not be read", e);
        }
    }

    private List<TableService.Row> scan(long fromVersion, int limit) throws TablesUnavailableException {
        try {
            return rows.scan(TableKeys.CHANGES, TableKeys.change(fromVersion), limit);
        } catch (PlatformUnavailableException e) {
            throw new TablesUnavailableException("changes from " + fromVersion + " could not be read", e);
        }
    }
}
