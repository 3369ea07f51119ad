package org.cowsliplatch.platform;

import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;

/** The platform's transactional table service: rows of text by key, each with a revision. */
public interface TableService {
    /**
     * One row.
     *
     * @param key key
     * @param revision starts at 1 and increases with each write of the row
     * @param value content
     */
    record Row(String key, long revision, String value) {}

    /**
     * One conditional write of a transaction.
     *
     * @param key key
     * @param expectedRevision revision the row must have; 0 if it must be absent
     * @param value content to write
     */
    record Write(String key, long expectedRevision, String value) {}

    /**
     * Returns a row, or empty if there is none.
     *
     * @throws PlatformUnavailableException if there was no response
     */
    Optional<Row> read(String key) throws PlatformUnavailableException;

    /**
     * Returns the rows whose keys have a prefix, in key order from a start key on.
     *
     * @param prefix prefix of the keys
     * @param from first key, inclusive
     * @param limit maximum number of rows to return
     * @throws PlatformUnavailableException if there was no response
     */
    List<Row> scan(String prefix, String from, int limit) throws PlatformUnavailableException;

    /**
     * Writes all rows atomically.
     *
     * @throws RowChangedException if a row does not have its expected revision; nothing was written
     * @throws PlatformUnavailableException if nothing was written
     * @throws WriteOutcomeUnknownException if there was no response, so that the outcome is unknown
     */
    void write(List<Write> writes)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException;
}
