package org.cowsliplatch.internal.peer;

/** Sends messages to other entry instances without blocking. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message; drops it if there is no open connection to the receiver.
     *
     * @param member name of the receiver
     * @param message message
     */
    void send(String member, PeerMessage message);
}
