package org.cowsliplatch.platform;

import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;

/** The platform's transactional table service: rows of text under keys, each with a revision. */
public interface TableService {
    /**
     * One row.
     *
     * @param key key
     * @param revision counted from 1, rises with each write of the row
     * @param value content
     */
    record Row(String key, long revision, String value) {}

    /**
     * One condition and write of a transaction.
     *
     * @param key key
     * @param expectedRevision revision the row must have; 0 if it must be absent
     * @param value content to write
     */
    record Write(String key, long expectedRevision, String value) {}

    /**
     * Returns a row, or empty if there is none.
     *
     * @throws PlatformUnavailableException if no answer came
     */
    Optional<Row> read(String key) throws PlatformUnavailableException;

    /**
     * Returns the rows from a key on whose keys share a prefix, in key order.
     *
     * @param prefix prefix of the keys
     * @param from first key, inclusive
     * @param limit most rows to return
     * @throws PlatformUnavailableException if no answer came
     */
    List<Row> scan(String prefix, String from, int limit) throws PlatformUnavailableException;

    /**
     * Writes all rows or none.
     *
     * @throws RowChangedException if a row was not at its expected revision; nothing was written
     * @throws PlatformUnavailableException if nothing was written
     * @throws WriteOutcomeUnknownException if the answer was lost
     */
    void write(List<Write> writes)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException;
}
