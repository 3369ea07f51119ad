package org.cowsliplatch.internal.steer;

import java.util.List;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.TableVersion;

/**
 * Everything that a decision on a request reads; immutable, replaced as a whole.
 *
 * @param tables tables in force
 * @param matcher routes in force
 * @param shifts plans by which pools are divided among regions
 * @param endpoints backend servers as last listed
 * @param members live entry instances, this one included, by name
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
     * Returns this view with other tables.
     *
     * @param newTables tables
     * @param acceptedAtMs wall-clock time of their acceptance, or 0 if it is not known
     */
    public SteeringView with(TableVersion newTables, long acceptedAtMs) {
        TrafficShifts newShifts = shifts.after(newTables.tables(), acceptedAtMs);
        return new SteeringView(newTables, new RouteMatcher(newTables.tables()), newShifts, endpoints, members);
    }

    /** Returns this view with other endpoints. */
    public SteeringView with(EndpointDirectory newEndpoints) {
        return new SteeringView(tables, matcher, shifts, newEndpoints, members);
    }

    /** Returns this view with other members. */
    public SteeringView with(List<Member> newMembers) {
        return new SteeringView(tables, matcher, shifts, endpoints, newMembers);
    }
}
