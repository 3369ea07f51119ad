package org.cowsliplatch.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.HistoryLostException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;

/** The platform's store of rows in named tables, whose changes can be followed. */
public interface RowStore {
    /**
     * State of one row at a version.
     *
     * @param key key of the row in its table
     * @param version increases with each transaction of the store
     * @param value content; empty if the row was removed
     */
    record Row(String key, long version, Optional<byte[]> value) {}

    /**
     * Rows read from a consistent snapshot.
     *
     * @param rows all rows of a table, or those that changed
     * @param version version of the store in the snapshot
     * @param era life of the store, which rises each time it is restored from a copy and its versions go back; or
     *     {@link #UNKNOWN_ERA}
     */
    record Rows(List<Row> rows, long version, long era) {
        /** Makes a defensive copy of the rows. */
        public Rows {
            rows = List.copyOf(rows);
        }

        /** Creates rows of an unknown life of the store. */
        public Rows(List<Row> rows, long version) {
            this(rows, version, UNKNOWN_ERA);
        }
    }

    /** Era of an answer that does not say which life of the store it is of. */
    long UNKNOWN_ERA = 0;

    /**
     * Returns all rows of a table.
     *
     * @throws PlatformUnavailableException if there was no response
     */
    Rows read(String table) throws PlatformUnavailableException;

    /**
     * Returns the rows of a table that changed after a version, oldest first; waits for a change if there is none.
     *
     * @param table name of the table
     * @param after version after which changes are returned
     * @param wait maximum time to wait for a change
     * @param answerTimeout time after the wait in which an answer is expected
     * @throws HistoryLostException if the changes after that version are no longer retained; read the table instead
     * @throws PlatformUnavailableException if there was no response
     */
    Rows follow(String table, long after, Duration wait, Duration answerTimeout)
            throws HistoryLostException, PlatformUnavailableException;

    /**
     * Writes a row unconditionally.
     *
     * @throws PlatformUnavailableException if nothing was written
     * @throws WriteOutcomeUnknownException if there was no response, so that the outcome is unknown
     */
    void put(String table, String key, byte[] value) throws PlatformUnavailableException, WriteOutcomeUnknownException;

    /**
     * Removes a row if it exists.
     *
     * @throws PlatformUnavailableException if nothing was removed
     * @throws WriteOutcomeUnknownException if there was no response, so that the outcome is unknown
     */
    void remove(String table, String key) throws PlatformUnavailableException, WriteOutcomeUnknownException;
}
