package org.cowsliplatch.internal.follow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Relays changes of the platform's store within a region, so that a few entry instances read the store for all.
 *
 * <p>An instance that follows a table reads the store at each change, and calls to the store are expensive and limited
 * in number. In each region a few instances, chosen by rendezvous hashing, act as readers and forward the changes; the
 * others read the store themselves as soon as a reader is silent or no changes were relayed for a while. In a small
 * region all instances are readers. Changes carry the version they are based on, so that a receiver detects missed
 * changes and reads them from the store.
 *
 * <p>Does no I/O and has no thread of its own; thread-safe.
 */
public final class ChangeRelay {
    /**
     * Changes that were relayed.
     *
     * @param reader name of the entry instance that read them
     * @param changes the changes
     */
    public record Relayed(String reader, PeerMessage.StoreChanges changes) {}

    /** Readers per region; enough to relay changes while one is cut off from the store and another is down. */
    private static final int READERS_PER_REGION = 3;
    /** Number of members in a region up to which all are readers; relaying would save little. */
    private static final int MAX_MEMBERS_WITHOUT_RELAY = 4;
    /** Longest time in ns without a message after which a reader is no longer relied on: two heartbeats. */
    private static final long MAX_READER_TIMEOUT_NANOS = 1_500_000_000L;
    /** Maximum number of queued changes of a table; if there are more, the queue is dropped and the store is read. */
    private static final int INBOX_CAPACITY = 1_024;

    private final String self;
    private final String region;
    private final Ticker ticker;
    private final long relayTimeoutNanos;
    private final PeerSender peers;
    private final Map<String, Long> lastSeenNanos = new ConcurrentHashMap<>();
    private final Map<String, BlockingQueue<Relayed>> inboxes = new ConcurrentHashMap<>();
    private final Map<String, Long> lastRelayedNanos = new ConcurrentHashMap<>();
    private volatile Set<String> readers = Set.of();
    private volatile List<String> followers = List.of();

    /**
     * Creates a relay without other members; this entry instance reads the store itself.
     *
     * @param self name of this entry instance
     * @param region region of this entry instance
     * @param ticker clock
     * @param times how long to wait for news of the store
     * @param peers sends changes to other entry instances
     */
    public ChangeRelay(String self, String region, Ticker ticker, ReadTimes times, PeerSender peers) {
        this.self = self;
        this.region = region;
        this.ticker = ticker;
        this.relayTimeoutNanos = times.relayTimeout().toNanos();
        this.peers = peers;
    }

    /** Updates the live entry instances, including this one, and chooses the readers of the region anew. */
    public void updateMembers(List<Member> members) {
        List<String> names = new ArrayList<>();
        List<String> notLeaving = new ArrayList<>();
        for (Member member : members) {
            if (member.region().equals(region)) {
                names.add(member.name());
                if (!member.leaving()) {
                    notLeaving.add(member.name());
                }
            }
        }
        lastSeenNanos.keySet().retainAll(new HashSet<>(names));
        boolean allRead = names.size() <= MAX_MEMBERS_WITHOUT_RELAY || notLeaving.size() < READERS_PER_REGION;
        List<String> chosen = allRead
                ? names
                : Rendezvous.order("store/" + region, notLeaving).subList(0, READERS_PER_REGION);
        names.removeAll(chosen);
        readers = Set.copyOf(chosen);
        followers = List.copyOf(names);
    }

    /** Records that a peer is alive. */
    public void markAlive(String peer) {
        lastSeenNanos.put(peer, ticker.nanos());
    }

    /** Queues changes that a reader forwarded. */
    public void receive(String from, PeerMessage.StoreChanges changes) {
        markAlive(from);
        lastRelayedNanos.put(changes.table(), ticker.nanos());
        BlockingQueue<Relayed> inbox = inbox(changes.table());
        if (!inbox.offer(new Relayed(from, changes))) {
            // The dropped changes are detected by the versions of the next ones, and read from the store.
            inbox.clear();
        }
    }

    /** Returns whether readers relay the changes of a table to this entry instance, so that it need not read them. */
    public boolean isRelayed(String table) {
        Set<String> current = readers;
        if (current.isEmpty() || current.contains(self)) {
            return false;
        }
        long now = ticker.nanos();
        Long relayed = lastRelayedNanos.get(table);
        return relayed != null
                && now - relayed < relayTimeoutNanos
                && current.stream().allMatch(reader -> isAlive(reader, now));
    }

    private boolean isAlive(String reader, long now) {
        Long seen = lastSeenNanos.get(reader);
        return seen != null && now - seen < Math.min(MAX_READER_TIMEOUT_NANOS, relayTimeoutNanos);
    }

    /**
     * Returns the next queued changes of a table, and waits for some if there are none; empty if the wait timed out.
     *
     * @param table name of the table
     * @param timeoutMs longest wait in ms
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Optional<Relayed> poll(String table, long timeoutMs) throws InterruptedException {
        return Optional.ofNullable(inbox(table).poll(timeoutMs, TimeUnit.MILLISECONDS));
    }

    /**
     * Forwards changes to the followers if this entry instance is a reader. Empty changes are forwarded too, since they
     * show that the store is available.
     */
    public void forward(PeerMessage.StoreChanges changes) {
        if (!readers.contains(self)) {
            return;
        }
        for (String follower : followers) {
            peers.send(follower, changes);
        }
    }

    private BlockingQueue<Relayed> inbox(String table) {
        return inboxes.computeIfAbsent(table, key -> new LinkedBlockingQueue<>(INBOX_CAPACITY));
    }
}
