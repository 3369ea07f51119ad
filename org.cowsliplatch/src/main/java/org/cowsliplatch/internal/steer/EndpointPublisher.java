package org.cowsliplatch.internal.steer;

import java.util.HashSet;
import java.util.Set;

/**
 * Puts what is known of endpoints and of evacuated zones into the view.
 *
 * <p>Both are followed by threads of their own. Gathering and putting into force are one step here, so that neither
 * thread puts back what the other has just replaced.
 */
public final class EndpointPublisher {
    private final EndpointRegistry book;
    private final SteeringViewHolder views;
    private final Set<String> evacuated = new HashSet<>();

    /**
     * Creates a publisher that has published nothing.
     *
     * @param book what is known of endpoints
     * @param views takes the directories
     */
    public EndpointPublisher(EndpointRegistry book, SteeringViewHolder views) {
        this.book = book;
        this.views = views;
    }

    /** Lets the endpoints of an availability zone get nothing; returns whether that is new. */
    public synchronized boolean evacuate(String zone) {
        boolean added = evacuated.add(zone);
        if (added) {
            publish();
        }
        return added;
    }

    /** Takes an evacuated availability zone back; one that was not evacuated is passed over. */
    public synchronized void endEvacuation(String zone) {
        if (evacuated.remove(zone)) {
            publish();
        }
    }

    /** Puts the book as it is now into force. */
    public synchronized void publish() {
        views.updateEndpoints(new EndpointDirectory(book.instances(), evacuated, book.gone()));
    }
}
