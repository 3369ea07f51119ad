package org.cowsliplatch.internal.peer;

/** Sends messages to other entry instances without waiting. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message; it is dropped if the receiver can't be reached.
     *
     * @param member name of the receiver
     * @param message message
     */
    void send(String member, PeerMessage message);
}
