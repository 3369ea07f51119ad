package org.cowsliplatch.internal.peer;

import java.util.List;
import org.cowsliplatch.internal.member.Member;

/** Receives messages from peers. Called on the threads of the transport; implementations must not block. */
public interface PeerListener {
    /**
     * Called when a peer has sent its description.
     *
     * @param member description of the peer
     */
    void memberDescribed(Member member);

    /**
     * Called when an attempt to connect to a peer has failed.
     *
     * @param address peer address
     */
    void connectionFailed(String address);

    /**
     * Called when a heartbeat has arrived.
     *
     * @param from name of the peer
     * @param loads load of the groups whose slots it grants
     * @return whether the description of the peer is known; if not, the peer is requested to send it
     */
    boolean heartbeatReceived(String from, List<PeerMessage.GroupReport> loads);

    /**
     * Called when a message other than a heartbeat has arrived.
     *
     * @param from name of the peer
     * @param message message
     */
    void messageReceived(String from, PeerMessage message);
}
