package org.cowsliplatch.internal.peer;

import java.util.List;
import java.util.Optional;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.table.Rank;

/** A message from one entry instance to another. Messages may be lost; the transport does not retransmit them. */
public sealed interface PeerMessage {
    /**
     * Periodic heartbeat.
     *
     * @param member description of the sender
     * @param loads load of the groups whose slots it grants
     */
    record Heartbeat(Member member, List<GroupReport> loads) implements PeerMessage {}

    /**
     * Load of one group.
     *
     * @param group group
     * @param load load
     * @param cachedObjects number of objects that an endpoint of the pool caches, 0 if not known yet
     */
    record GroupReport(GroupId group, GroupLoad load, int cachedObjects) {}

    /**
     * Requests a slot from a grantor.
     *
     * @param group group of endpoints
     * @param askId id of the slot request, unique at the sender
     * @param zone availability zone of the sender
     * @param waitedNanos time in ns that the request has waited so far
     * @param want requirements of the request; its times are relative to the sending of this message
     */
    record SlotAsk(GroupId group, long askId, String zone, long waitedNanos, SlotRequest.Requirements want)
            implements PeerMessage {}

    /**
     * The slot request is queued at the grantor.
     *
     * @param askId id of the slot request
     */
    record SlotQueued(long askId) implements PeerMessage {}

    /**
     * The receiver of the slot request is not the grantor of that group.
     *
     * @param askId id of the slot request
     */
    record SlotDeclined(long askId) implements PeerMessage {}

    /**
     * The slot request is granted.
     *
     * @param group group of endpoints
     * @param askId id of the slot request
     * @param endpoint endpoint to send the request to
     */
    record SlotGranted(GroupId group, long askId, Endpoint endpoint) implements PeerMessage {}

    /**
     * The slot request is refused.
     *
     * @param askId id of the slot request
     * @param why reason
     * @param rateBound rate that the limits of the endpoints allow, if they are the reason
     */
    record SlotRefused(long askId, Refusal why, Optional<RateBound> rateBound) implements PeerMessage {
        /** Creates a refusal for a reason other than the limits of the endpoints. */
        public SlotRefused(long askId, Refusal why) {
            this(askId, why, Optional.empty());
        }
    }

    /**
     * The sender cancels its slot request.
     *
     * @param group group of endpoints
     * @param askId id of the slot request
     */
    record SlotCancel(GroupId group, long askId) implements PeerMessage {}

    /**
     * The sender releases a slot.
     *
     * @param group group of endpoints
     * @param askId id of the slot request
     * @param outcome how the use ended
     * @param limit rate limit of the endpoint according to its response; empty if there was none
     */
    record SlotRelease(GroupId group, long askId, SlotOutcome outcome, Optional<EndpointLimit> limit)
            implements PeerMessage {
        /** Creates a release that tells nothing about a limit. */
        public SlotRelease(GroupId group, long askId, SlotOutcome outcome) {
            this(group, askId, outcome, Optional.empty());
        }
    }

    /**
     * What is known of the rate limit of one endpoint.
     *
     * @param endpointId id of the endpoint
     * @param notice the limit, or that there is none
     * @param ageNanos time in ns since the endpoint last named it
     */
    record EndpointLimit(String endpointId, LimitNotice notice, long ageNanos) {}

    /**
     * Changed rate limits, sent by the grantor of a group to all entry instances.
     *
     * @param group group of endpoints
     * @param limits limits that were named, changed or ended
     */
    record LimitsChanged(GroupId group, List<EndpointLimit> limits) implements PeerMessage {
        /** Makes a defensive copy of the limits. */
        public LimitsChanged {
            limits = List.copyOf(limits);
        }
    }

    /**
     * Endpoints that announced their leaving in responses to the sender.
     *
     * @param endpointIds ids of the endpoints
     */
    record EndpointsLeaving(List<String> endpointIds) implements PeerMessage {
        /** Makes a defensive copy of the ids. */
        public EndpointsLeaving {
            endpointIds = List.copyOf(endpointIds);
        }
    }

    /**
     * A new grantor queries which slots of a group the receiver holds.
     *
     * @param group group of endpoints
     */
    record HoldingsQuery(GroupId group) implements PeerMessage {}

    /**
     * Slots that the sender holds.
     *
     * @param group group of endpoints
     * @param holdings slots
     * @param limits rate limits of the endpoints of the group that the sender knows
     */
    record Holdings(GroupId group, List<Holding> holdings, List<EndpointLimit> limits) implements PeerMessage {
        /** Creates holdings without limits. */
        public Holdings(GroupId group, List<Holding> holdings) {
            this(group, holdings, List.of());
        }
    }

    /**
     * One slot in use.
     *
     * @param askId id of the slot request that was granted it
     * @param endpointId id of the endpoint
     * @param rank rank of the request
     */
    record Holding(long askId, String endpointId, Rank rank) {}

    /**
     * Requests the changes of the routing tables after a version.
     *
     * @param after version that the sender has
     */
    record TablesWanted(long after) implements PeerMessage {}

    /**
     * Changes of the routing tables.
     *
     * @param changes changes as JSON, oldest first
     */
    record TablesChanges(List<String> changes) implements PeerMessage {}

    /**
     * Complete routing tables, sent if the requested changes are no longer retained.
     *
     * @param version number of the version
     * @param document tables as JSON
     */
    record TablesWhole(long version, String document) implements PeerMessage {}

    /**
     * A stopping entry instance hands its idempotency keys over to its successor, in one or more parts.
     *
     * @param domain domain of the keys
     * @param secret secret of the key prefixes
     * @param ageNanos age of the incarnation in ns
     * @param records key records in this part
     * @param last whether this is the last part
     */
    record KeysHandOver(
            String domain, byte[] secret, long ageNanos, List<KeyLedger.ExportedRecord> records, boolean last)
            implements PeerMessage {}

    /**
     * Acknowledges a hand-over: the sender owns the keys of the domain from now on.
     *
     * @param domain domain of the keys
     */
    record KeysTaken(String domain) implements PeerMessage {}

    /**
     * Changes of a table of the platform's store.
     *
     * @param table name of the table
     * @param after version after which all changes are included
     * @param rows changes, oldest first
     * @param version version up to which all changes are included
     * @param storeReturned whether the store was unavailable shortly before, so that removed rows may reappear
     * @param era life of the store that the versions are of, or {@link RowStore#UNKNOWN_ERA}
     */
    record StoreChanges(
            String table, long after, List<RowStore.Row> rows, long version, boolean storeReturned, long era)
            implements PeerMessage {
        /** Makes a defensive copy of the rows. */
        public StoreChanges {
            rows = List.copyOf(rows);
        }

        /** Creates changes of an unknown life of the store. */
        public StoreChanges(String table, long after, List<RowStore.Row> rows, long version, boolean storeReturned) {
            this(table, after, rows, version, storeReturned, RowStore.UNKNOWN_ERA);
        }
    }
}
