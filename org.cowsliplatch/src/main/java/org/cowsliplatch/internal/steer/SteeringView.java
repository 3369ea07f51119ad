package org.cowsliplatch.internal.steer;

import java.util.List;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.TableVersion;

/**
 * Snapshot of all state that routing decisions on a request depend on; immutable and replaced as a whole.
 *
 * @param tables tables in effect
 * @param matcher matcher for the routes of these tables
 * @param shifts traffic shifts, which give the share of each region in a pool
 * @param endpoints known backend servers
 * @param members live entry instances including this one, sorted by name
 */
public record SteeringView(
        TableVersion tables,
        RouteMatcher matcher,
        TrafficShifts shifts,
        EndpointDirectory endpoints,
        List<Member> members) {
    /** Copies the members. */
    public SteeringView {
        members = List.copyOf(members);
    }

    /** Returns a view without tables, endpoints and members. */
    public static SteeringView empty() {
        RouteMatcher noRoutes = new RouteMatcher(TableVersion.NONE.tables());
        return new SteeringView(TableVersion.NONE, noRoutes, TrafficShifts.NONE, EndpointDirectory.EMPTY, List.of());
    }

    /**
     * Returns a copy of this view with new tables.
     *
     * @param newTables new tables
     * @param acceptedAtMs wall-clock time of their acceptance in ms since 1970, or 0 if unknown
     */
    public SteeringView with(TableVersion newTables, long acceptedAtMs) {
        TrafficShifts newShifts = shifts.after(newTables.tables(), acceptedAtMs);
        return new SteeringView(newTables, new RouteMatcher(newTables.tables()), newShifts, endpoints, members);
    }

    /** Returns a copy of this view with new endpoints. */
    public SteeringView with(EndpointDirectory newEndpoints) {
        return new SteeringView(tables, matcher, shifts, newEndpoints, members);
    }

    /** Returns a copy of this view with new members. */
    public SteeringView with(List<Member> newMembers) {
        return new SteeringView(tables, matcher, shifts, endpoints, newMembers);
    }
}
