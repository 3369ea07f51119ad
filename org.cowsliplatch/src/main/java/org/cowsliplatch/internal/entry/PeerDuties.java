package org.cowsliplatch.internal.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerTransport;
import org.cowsliplatch.internal.proxy.BackendClient;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.internal.table.TableSync;
import org.jboss.logging.Logger;

/** Exchanges heartbeats, loads, slots and tables with the peers of an entry instance. */
final class PeerDuties {
    private static final Logger LOG = Logger.getLogger(PeerDuties.class);

    private final Supplier<Member> self;
    private final Membership membership;
    private final PeerTransport transport;
    private final SteeringViewHolder views;
    private final SlotBroker broker;
    private final Headroom headroom;
    private final TableSync tables;

    PeerDuties(
            Supplier<Member> self,
            Membership membership,
            PeerTransport transport,
            SteeringViewHolder views,
            SlotBroker broker,
            Headroom headroom,
            TableSync tables) {
        this.self = self;
        this.membership = membership;
        this.transport = transport;
        this.views = views;
        this.broker = broker;
        this.headroom = headroom;
        this.tables = tables;
    }

    /**
     * Connects to all known peers and sends them a heartbeat.
     *
     * @param listedAddresses peer addresses listed by the platform or in the settings
     */
    void heartbeat(Collection<String> listedAddresses) {
        Set<String> addresses = new HashSet<>(listedAddresses);
        for (Member peer : membership.peers()) {
            addresses.add(peer.peerAddress());
            addresses.addAll(peer.knownPeers());
        }
        addresses.remove(self.get().peerAddress());
        transport.retain(addresses);
        transport.connect(addresses);
        views.updateMembers(membership.peers(), self.get());
        tables.retry();
        List<PeerMessage.GroupReport> loads = broker.loads();
        recordLoads(loads);
        transport.heartbeat(loads);
    }

    /** Connects to listed peers, without waiting for the next heartbeat. */
    void connect(Collection<String> listedAddresses) {
        Set<String> addresses = new HashSet<>(listedAddresses);
        addresses.remove(self.get().peerAddress());
        transport.connect(addresses);
    }

    /**
     * Publishes a change of this entry instance's description, without waiting for the next heartbeat. Peers are told before
     * it takes effect here, so that they hand duties over before this entry instance takes them.
     */
    void announce() {
        transport.heartbeat(broker.loads());
        views.updateMembers(membership.peers(), self.get());
    }

    /** Stores a peer's description; returns whether it is new or has changed. */
    boolean described(Member member) {
        if (member.name().equals(self.get().name())) {
            return false;
        }
        transport.setPeerAddress(member.name(), member.peerAddress());
        boolean changed = membership.update(member);
        transport.connect(List.of(member.peerAddress()));
        if (changed) {
            views.updateMembers(membership.peers(), self.get());
        }
        tables.onAnnouncement(member);
        return changed;
    }

    /** Records a peer's heartbeat; returns whether its description is known. */
    boolean alive(String from, List<PeerMessage.GroupReport> loads) {
        recordLoads(loads);
        return membership.markAlive(from);
    }

    /** Handles a peer's message about slots or tables. */
    void received(String from, PeerMessage message) {
        membership.markAlive(from);
        broker.receive(from, message);
        tables.receive(from, message);
    }

    /** Closes listeners and connections. A failure to close one is logged, and the others are still closed. */
    static void close(List<HttpListener> listeners, PeerTransport transport, BackendClient client) {
        for (HttpListener listener : listeners) {
            try {
                listener.close();
            } catch (EntryStartException e) {
                LOG.warnf("failed to close a listener: %s", e.getMessage());
            }
        }
        transport.close();
        try {
            client.close();
        } catch (EntryStartException e) {
            LOG.warnf("failed to close the HTTP client: %s", e.getMessage());
        }
    }

    private void recordLoads(List<PeerMessage.GroupReport> loads) {
        broker.learnCacheSizes(loads);
        int instanceCount = views.current().members().size();
        loads.forEach(report -> headroom.report(report.group(), report.load(), instanceCount));
    }
}
