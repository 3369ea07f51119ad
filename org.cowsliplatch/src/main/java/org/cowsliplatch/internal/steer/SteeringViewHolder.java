package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.TableVersion;

/** Holds the current {@link SteeringView}; readers take it without a lock, writers replace it. */
public final class SteeringViewHolder {
    private final Consumer<SteeringView> listener;
    private volatile SteeringView current = SteeringView.empty();

    /**
     * Creates a keeper of an empty view.
     *
     * @param listener told of each view that may change duties, one after the other
     */
    public SteeringViewHolder(Consumer<SteeringView> listener) {
        this.listener = listener;
    }

    /** Returns the current view. */
    public SteeringView current() {
        return current;
    }

    /**
     * Puts tables into force.
     *
     * @param acceptedAtMs wall-clock time of their acceptance, or 0 if it is not known
     */
    public void updateTables(TableVersion version, long acceptedAtMs) {
        replace(view -> view.with(version, acceptedAtMs));
    }

    /** Takes over a list of backend servers. */
    public void updateEndpoints(EndpointDirectory endpoints) {
        if (!endpoints.equals(current.endpoints())) {
            replace(view -> view.with(endpoints));
        }
    }

    /** Takes over the live entry instances, this one included. */
    public void updateMembers(List<Member> peers, Member self) {
        List<Member> members = new ArrayList<>(peers);
        members.add(self);
        members.sort(Comparator.comparing(Member::name));
        if (members.equals(current.members())) {
            return;
        }
        replace(view -> view.with(members));
    }

    private synchronized void replace(UnaryOperator<SteeringView> change) {
        SteeringView before = current;
        SteeringView after = change.apply(before);
        current = after;
        boolean sameInputs =
                before.tables().equals(after.tables()) && before.endpoints().equals(after.endpoints());
        if (!sameInputs || !sameDuties(before.members(), after.members())) {
            listener.accept(after);
        }
    }

    /** Returns whether two lists differ in nothing that duties depend on. */
    private static boolean sameDuties(List<Member> a, List<Member> b) {
        if (a.size() != b.size()) {
            return false;
        }
        for (int i = 0; i < a.size(); i++) {
            boolean same = a.get(i).domain().equals(b.get(i).domain())
                    && a.get(i).leaving() == b.get(i).leaving()
                    && a.get(i).region().equals(b.get(i).region());
            if (!same) {
                return false;
            }
        }
        return true;
    }
}
