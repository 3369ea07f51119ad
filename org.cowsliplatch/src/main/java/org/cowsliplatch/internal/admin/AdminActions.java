package org.cowsliplatch.internal.admin;

import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.telemetry.SpanRing;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;

/** What the administration API can ask of an entry instance. */
public interface AdminActions {
    /**
     * State of one entry instance.
     *
     * @param name name
     * @param region region
     * @param zone availability zone
     * @param callerAddress address for callers
     * @param adminAddress address for operators
     * @param leaving whether it takes part in a planned stop
     * @param tableVersion table version in force on it
     */
    record InstanceStatus(
            String name,
            String region,
            String zone,
            String callerAddress,
            String adminAddress,
            boolean leaving,
            long tableVersion) {}

    /**
     * State of this entry instance and of the peers it knows.
     *
     * @param instance this entry instance
     * @param ready whether it serves requests
     * @param requestsInFlight requests not yet answered
     * @param slotsInUse slots held or waited for
     * @param keyRecords records of idempotency keys
     * @param groups groups whose slots this entry instance grants
     * @param peers peers heard of lately
     */
    record Status(
            InstanceStatus instance,
            boolean ready,
            int requestsInFlight,
            int slotsInUse,
            int keyRecords,
            List<GroupStatus> groups,
            List<InstanceStatus> peers) {}

    /**
     * Load of one group of endpoints.
     *
     * @param pool pool
     * @param region region
     * @param slots slots that may be used
     * @param free slots that are free
     * @param outstanding requests at the endpoints
     * @param waiting requests that wait
     */
    record GroupStatus(String pool, String region, int slots, int free, int outstanding, int waiting) {}

    /** Returns the version in force. */
    TableVersion tables();

    /** Returns the names of all regions. */
    List<String> regions();

    /**
     * Makes an edit the next version.
     *
     * @throws TableException if it was not accepted, or it is not known whether it was
     */
    TableChange apply(TableEdit edit) throws TableException;

    /**
     * Returns accepted changes, oldest first.
     *
     * @param after version to start after
     * @param limit most changes to return
     * @throws TableException if the store gave no answer
     */
    List<TableChange> history(long after, int limit) throws TableException;

    /** Returns the state of this entry instance. */
    Status status();

    /** Begins a planned stop. */
    void drain();

    /** Returns whether this entry instance serves requests. */
    boolean isReady();

    /** Returns all metrics in the Prometheus text format. */
    byte[] metrics();

    /** Returns the spans of a trace that are still kept. */
    List<SpanRing.SpanText> trace(String traceId);
}
