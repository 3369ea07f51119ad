package org.cowsliplatch.platform;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cowsliplatch.table.TableVersion;

/** A decoded row of the operators' table. */
public sealed interface OperatorRow {
    /**
     * Configuration: the routes and pools to apply.
     *
     * @param tables routing tables with their version
     * @param bodyBytes maximum size of a request body in bytes
     * @param unknownKinds kinds of request that are not known; routes of these kinds count as non-idempotent
     */
    record Configuration(TableVersion tables, long bodyBytes, SortedSet<String> unknownKinds) implements OperatorRow {
        /** Copies the set. */
        public Configuration {
            unknownKinds = Collections.unmodifiableSortedSet(new TreeSet<>(unknownKinds));
        }
    }

    /**
     * Evacuation of an availability zone: while the row exists, no new requests are sent to its endpoints.
     *
     * @param zone availability zone
     */
    record Evacuation(String zone) implements OperatorRow {}

    /** A row that is not for this system. */
    record Other() implements OperatorRow {}

    /**
     * A row that cannot be decoded.
     *
     * @param reason the invalid field and what is wrong with it
     */
    record Unreadable(String reason) implements OperatorRow {}
}
