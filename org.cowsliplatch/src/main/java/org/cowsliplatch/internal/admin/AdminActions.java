package org.cowsliplatch.internal.admin;

import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.telemetry.SpanRing;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;

/** Operations of an entry instance that the administration API exposes. */
public interface AdminActions {
    /**
     * State of one entry instance.
     *
     * @param name name
     * @param region region
     * @param zone availability zone
     * @param callerAddress address for callers
     * @param adminAddress address for operators
     * @param leaving whether it is in a planned stop
     * @param tableVersion number of the table version in force on it
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
     * State of this entry instance and of its peers.
     *
     * @param instance this entry instance
     * @param ready whether it serves requests
     * @param requestsInFlight requests that have not completed
     * @param slotsInUse slots held or waited for
     * @param keyRecords number of records of idempotency keys
     * @param groups groups whose slots this entry instance grants
     * @param peers live peers
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
     * @param slots concurrency limit of the group
     * @param free free slots
     * @param outstanding requests in flight at the endpoints
     * @param waiting queued requests
     */
    record GroupStatus(String pool, String region, int slots, int free, int outstanding, int waiting) {}

    /** Returns the table version in force. */
    TableVersion tables();

    /** Returns the names of all regions. */
    List<String> regions();

    /**
     * Applies an edit as the next table version.
     *
     * @throws TableException if the edit was rejected, or if its outcome is unknown
     */
    TableChange apply(TableEdit edit) throws TableException;

    /**
     * Returns accepted changes, oldest first.
     *
     * @param after number of the version after which to start
     * @param limit maximum number of changes
     * @throws TableException if the store did not answer
     */
    List<TableChange> history(long after, int limit) throws TableException;

    Status status();

    /** Begins a planned stop. */
    void drain();

    /** Returns whether this entry instance serves requests. */
    boolean isReady();

    /** Returns all metrics in the Prometheus text format. */
    byte[] metrics();

    /** Returns the spans of a trace that are still in memory. */
    List<SpanRing.SpanText> trace(String traceId);
}
