package org.cowsliplatch.internal.peer;

import java.util.List;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.table.Rank;

/** A message from one entry instance to another; each may be lost, and none is sent again by the transport. */
public sealed interface PeerMessage {
    /**
     * Sign of life.
     *
     * @param member sender as it describes itself
     * @param loads load of the groups whose slots it grants
     */
    record Heartbeat(Member member, List<GroupReport> loads) implements PeerMessage {}

    /**
     * Load of one group.
     *
     * @param group group
     * @param load load
     */
    record GroupReport(GroupId group, GroupLoad load) {}

    /**
     * Asks a grantor for a slot.
     *
     * @param group group of endpoints
     * @param askId id, unique at the sender
     * @param zone availability zone of the sender
     * @param waitedNanos how long the request has waited
     * @param want what the request needs; its moments count from the sending of this message
     */
    record SlotAsk(GroupId group, long askId, String zone, long waitedNanos, SlotRequest.Requirements want)
            implements PeerMessage {}

    /**
     * The ask waits at the grantor.
     *
     * @param askId id of the ask
     */
    record SlotQueued(long askId) implements PeerMessage {}

    /**
     * The receiver of the ask does not grant slots of that group.
     *
     * @param askId id of the ask
     */
    record SlotDeclined(long askId) implements PeerMessage {}

    /**
     * The ask got a slot.
     *
     * @param group group of endpoints
     * @param askId id of the ask
     * @param endpoint endpoint to send the request to
     */
    record SlotGranted(GroupId group, long askId, Endpoint endpoint) implements PeerMessage {}

    /**
     * The ask gets no slot.
     *
     * @param askId id of the ask
     * @param why reason
     */
    record SlotRefused(long askId, Refusal why) implements PeerMessage {}

    /**
     * The sender no longer wants the slot it asked for.
     *
     * @param group group of endpoints
     * @param askId id of the ask
     */
    record SlotCancel(GroupId group, long askId) implements PeerMessage {}

    /**
     * The sender gives a slot back.
     *
     * @param group group of endpoints
     * @param askId id of the ask
     * @param outcome how the use ended
     */
    record SlotRelease(GroupId group, long askId, SlotOutcome outcome) implements PeerMessage {}

    /**
     * A new grantor asks which slots of a group the receiver holds.
     *
     * @param group group of endpoints
     */
    record HoldingsQuery(GroupId group) implements PeerMessage {}

    /**
     * Slots that the sender holds.
     *
     * @param group group of endpoints
     * @param holdings slots
     */
    record Holdings(GroupId group, List<Holding> holdings) implements PeerMessage {}

    /**
     * One slot in use.
     *
     * @param askId id of the ask that got it
     * @param endpointId endpoint
     * @param rank urgency
     */
    record Holding(long askId, String endpointId, Rank rank) {}

    /**
     * The sender wants the table changes after a version.
     *
     * @param after version it has
     */
    record TablesWanted(long after) implements PeerMessage {}

    /**
     * Table changes.
     *
     * @param changes changes as JSON, oldest first
     */
    record TablesChanges(List<String> changes) implements PeerMessage {}

    /**
     * Whole tables, where the changes are no longer kept.
     *
     * @param version number of the version
     * @param document tables as JSON
     */
    record TablesWhole(long version, String document) implements PeerMessage {}

    /**
     * A stopping entry instance hands its idempotency keys to its successor.
     *
     * @param domain domain of the keys
     * @param secret secret of the prefixes
     * @param ageNanos age of the incarnation
     * @param records part of the records
     * @param last whether this is the last part
     */
    record KeysHandOver(
            String domain, byte[] secret, long ageNanos, List<KeyLedger.ExportedRecord> records, boolean last)
            implements PeerMessage {}

    /**
     * The receiver of a hand-over runs these keys from now on.
     *
     * @param domain domain of the keys
     */
    record KeysTaken(String domain) implements PeerMessage {}

    /**
     * Changes of a table of the platform's store.
     *
     * @param table name of the table
     * @param after version after which all changes are told
     * @param rows changes, oldest first
     * @param version version up to which they are told
     * @param storeReturned whether the store was away shortly before, so that rows that were removed may come back
     */
    record StoreChanges(String table, long after, List<RowStore.Row> rows, long version, boolean storeReturned)
            implements PeerMessage {
        /** Copies the rows. */
        public StoreChanges {
            rows = List.copyOf(rows);
        }
    }
}
