package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.table.Pool;

/** Looks up groups of endpoints, and the candidates for their grantor, in a steering view. */
final class Groups {
    private Groups() {}

    /** Returns the groups that have endpoints. */
    static Set<GroupId> all(SteeringView view) {
        Set<GroupId> groups = new HashSet<>();
        for (Pool pool : view.tables().tables().pools().values()) {
            for (String region : view.endpoints().regions(pool.service())) {
                groups.add(new GroupId(pool.name(), region));
            }
        }
        return groups;
    }

    /** Returns the endpoints of a group, leaving ones included. */
    static List<ListedEndpoint> endpoints(SteeringView view, GroupId group) {
        Pool pool = view.tables().tables().pools().get(group.pool());
        return pool == null ? List.of() : view.endpoints().endpoints(pool.service(), group.region());
    }

    /**
     * Returns the live entry instances that may become the grantor of a group: those in its region, or all if there is none.
     * Leaving ones count only if no other takes over duties, and joining ones never do: while only such are known, each
     * grants for itself.
     */
    static Collection<String> candidates(SteeringView view, GroupId group) {
        List<String> inRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        for (Member member : view.members()) {
            if (!member.isActive()) {
                continue;
            }
            all.add(member.name());
            if (member.region().equals(group.region())) {
                inRegion.add(member.name());
            }
        }
        if (all.isEmpty()) {
            return List.copyOf(leavingMembers(view));
        }
        return inRegion.isEmpty() ? all : inRegion;
    }

    /** Returns whether an entry instance has just started and does not know the others yet. */
    static boolean isJoining(SteeringView view, String name) {
        return view.members().stream()
                .anyMatch(member -> member.name().equals(name) && member.phase() == MemberPhase.JOINING);
    }

    /** Returns the names of the live entry instances that have announced their planned stop. */
    static Set<String> leavingMembers(SteeringView view) {
        Set<String> leaving = new HashSet<>();
        for (Member member : view.members()) {
            if (member.leaving()) {
                leaving.add(member.name());
            }
        }
        return leaving;
    }

    /** Returns the names of the live entry instances other than one. */
    static List<String> otherMembers(SteeringView view, String self) {
        return view.members().stream()
                .map(Member::name)
                .filter(name -> !name.equals(self))
                .toList();
    }

    /** Returns the region of an entry instance, or an empty string if it is unknown. */
    static String regionOf(SteeringView view, String name) {
        for (Member member : view.members()) {
            if (member.name().equals(name)) {
                return member.region();
            }
        }
        return "";
    }
}
