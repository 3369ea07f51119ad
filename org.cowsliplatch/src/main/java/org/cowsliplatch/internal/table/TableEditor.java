package org.cowsliplatch.internal.table;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.TableConflictException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableOutcomeUnknownException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.platform.ObjectStore;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;
import org.cowsliplatch.table.TablesDiff;
import org.jboss.logging.Logger;

/**
 * Applies edits to the tables in the platform's store.
 *
 * <p>One transaction writes the head, the change and the row of the edit id. It is conditional on the head's revision,
 * which makes it safe to retry when its outcome is unknown: a copy that arrives late finds that the head has moved on
 * and has no effect.
 */
public final class TableEditor {
    private static final Logger LOG = Logger.getLogger(TableEditor.class);
    private static final int SNAPSHOT_INTERVAL_VERSIONS = 50;
    private static final int MAX_TRIES = 4;

    private final TableService rows;
    private final ObjectStore objects;
    private final TableReader reader;
    private final InstantSource wallClock;

    /**
     * Creates an editor.
     *
     * @param rows table service that stores heads and changes
     * @param objects object store for snapshots
     * @param wallClock clock for the acceptance times in the history
     */
    public TableEditor(TableService rows, ObjectStore objects, InstantSource wallClock) {
        this.rows = rows;
        this.objects = objects;
        this.reader = new TableReader(rows, objects);
        this.wallClock = wallClock;
    }

    /**
     * Makes an edit the next version.
     *
     * @return the accepted change, which may have been accepted in an earlier call with the same edit id
     * @throws TableConflictException if another edit was accepted first
     * @throws TableOutcomeUnknownException if the store did not confirm the edit and its outcome can't be read now
     * @throws TableException if the store is unavailable and nothing was written
     */
    public TableChange apply(TableEdit edit) throws TableException {
        Optional<TableChange> earlier = reader.changeOf(edit.editId());
        if (earlier.isPresent()) {
            return earlier.get();
        }
        Optional<TableService.Row> headRow = reader.row(TableKeys.HEAD);
        TableHead head = headRow.isEmpty()
                ? TableHead.NONE
                : TableCodec.head(headRow.get().value());
        if (head.version() != edit.base()) {
            throw conflict(edit, head.version());
        }
        Tables before = reader.at(head.version()).tables();
        TableChange change = change(edit, before);
        commit(
                edit,
                change,
                writes(change, headRow.map(TableService.Row::revision).orElse(0L)));
        writeSnapshotIfDue(new TableVersion(change.version(), edit.tables()));
        return change;
    }

    /**
     * Writes versions that are in force but missing from the store after it was restored to an older state.
     *
     * @param missing changes after the store's head, oldest first
     * @throws TableException if a write failed or its outcome is unknown
     */
    public void rollForward(List<TableChange> missing) throws TableException {
        for (TableChange change : missing) {
            Optional<TableService.Row> headRow = reader.row(TableKeys.HEAD);
            long storedVersion = headRow.isEmpty()
                    ? 0
                    : TableCodec.head(headRow.get().value()).version();
            if (storedVersion + 1 != change.version()) {
                continue;
            }
            try {
                rows.write(
                        writes(change, headRow.map(TableService.Row::revision).orElse(0L)));
            } catch (PlatformException e) {
                throw new TablesUnavailableException(
                        "version " + change.version() + " could not be written back to the store", e);
            }
        }
    }

    private TableChange change(TableEdit edit, Tables before) {
        return new TableChange(
                edit.base() + 1,
                edit.editId(),
                edit.author(),
                wallClock.millis(),
                edit.tables().digest(),
                TablesDiff.between(before, edit.tables()));
    }

    private static List<TableService.Write> writes(TableChange change, long headRevision) {
        TableHead head = new TableHead(change.version(), change.editId(), change.digest());
        List<TableService.Write> writes = new ArrayList<>();
        writes.add(new TableService.Write(TableKeys.HEAD, headRevision, Json.text(head)));
        writes.add(new TableService.Write(TableKeys.change(change.version()), 0, TableCodec.text(change)));
        writes.add(new TableService.Write(TableKeys.edit(change.editId()), 0, Long.toString(change.version())));
        return writes;
    }

    private void commit(TableEdit edit, TableChange change, List<TableService.Write> writes) throws TableException {
        boolean mayHaveTakenEffect = false;
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                rows.write(writes);
                return;
            } catch (RowChangedException e) {
                if (wasAccepted(edit, change, mayHaveTakenEffect)) {
                    return;
                }
                throw conflict(edit, headAfterConflict(edit));
            } catch (WriteOutcomeUnknownException e) {
                LOG.debugf("outcome of the write of edit %s is unknown, retrying", edit.editId());
                mayHaveTakenEffect = true;
            } catch (PlatformUnavailableException e) {
                if (!mayHaveTakenEffect) {
                    throw new TablesUnavailableException("edit " + edit.editId() + " was not accepted", e);
                }
            }
        }
        throw new TableOutcomeUnknownException(edit.editId(), null);
    }

    private boolean wasAccepted(TableEdit edit, TableChange change, boolean mayHaveTakenEffect) throws TableException {
        try {
            Optional<TableChange> accepted = reader.changeOf(edit.editId());
            return accepted.isPresent() && accepted.get().digest().equals(change.digest());
        } catch (TablesUnavailableException e) {
            if (mayHaveTakenEffect) {
                throw new TableOutcomeUnknownException(edit.editId(), e);
            }
            throw e;
        }
    }

    private long headAfterConflict(TableEdit edit) {
        try {
            return reader.head().version();
        } catch (TablesUnavailableException e) {
            return edit.base() + 1;
        }
    }

    private TableException conflict(TableEdit edit, long head) {
        try {
            Tables base = reader.at(edit.base()).tables();
            Tables current = reader.at(head).tables();
            return new TableConflictException(
                    edit.base(), head, TablesDiff.between(base, current), TablesDiff.between(base, edit.tables()));
        } catch (TableException e) {
            TablesDiff unknown = new TablesDiff(List.of());
            return new TableConflictException(edit.base(), head, unknown, unknown);
        }
    }

    /** Writes a snapshot so that a starting entry instance reads few changes; a failed one is retried after the next edit. */
    private void writeSnapshotIfDue(TableVersion version) {
        try {
            Optional<TableService.Row> pointer = reader.row(TableKeys.LATEST_SNAPSHOT);
            long latest = pointer.isEmpty() ? 0 : Long.parseLong(pointer.get().value());
            if (version.number() - latest < SNAPSHOT_INTERVAL_VERSIONS) {
                return;
            }
            objects.write(TableKeys.snapshot(version.number()), Json.bytes(TableCodec.document(version.tables())));
            rows.write(List.of(new TableService.Write(
                    TableKeys.LATEST_SNAPSHOT,
                    pointer.map(TableService.Row::revision).orElse(0L),
                    Long.toString(version.number()))));
        } catch (PlatformException | TablesUnavailableException e) {
            LOG.infof(
                    "snapshot of table version %d failed, retrying after the next edit: %s",
                    version.number(), e.getMessage());
        }
    }
}
