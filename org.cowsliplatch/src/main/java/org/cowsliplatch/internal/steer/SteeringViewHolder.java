package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.TableVersion;

/** Holds the current {@link SteeringView}; readers do not lock, writers replace the view under a lock. */
public final class SteeringViewHolder {
    private final Consumer<SteeringView> listener;
    private final LeavingEndpoints leaving;
    private long leavingRevision;
    private volatile SteeringView current = SteeringView.empty();

    /**
     * Creates a holder of an empty view.
     *
     * @param listener called with each view that may reassign responsibilities of entry instances, one call at a time
     */
    public SteeringViewHolder(Consumer<SteeringView> listener) {
        this(listener, new LeavingEndpoints(Ticker.system(), LeavingEndpoints.NO_LISTENER));
    }

    /**
     * Creates a holder of an empty view.
     *
     * @param listener called with each view that may reassign responsibilities of entry instances, one call at a time
     * @param leaving endpoints that are leaving, whatever a directory says
     */
    public SteeringViewHolder(Consumer<SteeringView> listener, LeavingEndpoints leaving) {
        this.listener = listener;
        this.leaving = leaving;
    }

    /** Returns the current view. */
    public SteeringView current() {
        return current;
    }

    /**
     * Replaces the tables.
     *
     * @param version new tables
     * @param acceptedAtMs wall-clock time of their acceptance in ms since 1970, or 0 if unknown
     */
    public void updateTables(TableVersion version, long acceptedAtMs) {
        replace(view -> view.with(version, acceptedAtMs));
    }

    /** Replaces the backend servers; an equal directory is ignored. */
    public synchronized void updateEndpoints(EndpointDirectory endpoints) {
        Set<String> listedIds = new HashSet<>();
        for (Instance instance : endpoints.instances()) {
            listedIds.add(instance.id());
            if (instance.leaving()) {
                leaving.mark(instance.id(), LeavingEndpoints.Source.LIST, "");
            }
        }
        leaving.limitUnlisted(listedIds);
        putInView(endpoints);
    }

    /** Applies marks of leaving endpoints that are not in the view yet. */
    public synchronized void applyLeaving() {
        if (leaving.revision() != leavingRevision) {
            putInView(current.endpoints());
        }
    }

    private void putInView(EndpointDirectory endpoints) {
        leavingRevision = leaving.revision();
        EndpointDirectory marked = endpoints.withLeaving(leaving.ids());
        if (!marked.equals(current.endpoints())) {
            replace(view -> view.with(marked));
        }
    }

    /** Replaces the live entry instances with the peers and this one; an equal list is ignored. */
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
        if (!sameInputs || !sameResponsibilities(before.members(), after.members())) {
            listener.accept(after);
        }
    }

    /** Returns whether two lists are equal in everything that the assignment of responsibilities depends on. */
    private static boolean sameResponsibilities(List<Member> a, List<Member> b) {
        if (a.size() != b.size()) {
            return false;
        }
        for (int i = 0; i < a.size(); i++) {
            boolean same = a.get(i).domain().equals(b.get(i).domain())
                    && a.get(i).phase() == b.get(i).phase()
                    && a.get(i).region().equals(b.get(i).region());
            if (!same) {
                return false;
            }
        }
        return true;
    }
}
