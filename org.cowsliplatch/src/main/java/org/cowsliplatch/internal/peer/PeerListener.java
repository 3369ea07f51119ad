package org.cowsliplatch.internal.peer;

import java.util.List;
import org.cowsliplatch.internal.member.Member;

/** Told of what peers say; called on the threads of the transport, which must not be kept waiting. */
public interface PeerListener {
    /**
     * A peer described itself.
     *
     * @param member description
     */
    void memberDescribed(Member member);

    /**
     * A sign of life came.
     *
     * @param from name of the peer
     * @param loads load of the groups whose slots it grants
     * @return whether the peer's description is known
     */
    boolean heartbeatReceived(String from, List<PeerMessage.GroupReport> loads);

    /**
     * A message came.
     *
     * @param from name of the peer
     * @param message message
     */
    void messageReceived(String from, PeerMessage message);
}
