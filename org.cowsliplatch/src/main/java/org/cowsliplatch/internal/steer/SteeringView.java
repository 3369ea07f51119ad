package org.cowsliplatch.internal.steer;

import java.util.List;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.TableVersion;

/**
 * Everything that a decision on a request reads; immutable, replaced as a whole.
 *
 * @param tables tables in force
 * @param matcher routes in force
 * @param endpoints backend servers as last listed
 * @param members live entry instances, this one included, by name
 */
public record SteeringView(
        TableVersion tables, RouteMatcher matcher, EndpointDirectory endpoints, List<Member> members) {
    /** Copies the members. */
    public SteeringView {
        members = List.copyOf(members);
    }

    /** Returns a view without tables, endpoints and members. */
    public static SteeringView empty() {
        return new SteeringView(
                TableVersion.NONE, new RouteMatcher(TableVersion.NONE.tables()), EndpointDirectory.EMPTY, List.of());
    }

    /** Returns this view with other tables. */
    public SteeringView with(TableVersion newTables) {
        return new SteeringView(newTables, new RouteMatcher(newTables.tables()), endpoints, members);
    }

    /** Returns this view with other endpoints. */
    public SteeringView with(EndpointDirectory newEndpoints) {
        return new SteeringView(tables, matcher, newEndpoints, members);
    }

    /** Returns this view with other members. */
    public SteeringView with(List<Member> newMembers) {
        return new SteeringView(tables, matcher, endpoints, newMembers);
    }
}
