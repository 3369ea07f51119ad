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
 * Passes changes of the platform's store on within a region, so that a few entry instances read it for all.
 *
 * <p>The load it answers: every instance that follows a table reads it at each change, and calls of the store are
 * bounded and dear. In each region a few instances, by rendezvous order, read; the others take what those tell, and
 * read for themselves as soon as a reader is silent or none has told of the store for a while. In a small region all
 * read. Changes carry the version they follow, so that one that was missed is noticed and read.
 *
 * <p>Does no I/O and has no thread; safe for use by several threads.
 */
public final class ChangeRelay {
    /** Readers in a region: one may be cut off from the store and another be down without holding the rest up. */
    private static final int READERS = 3;
    /** Members of a region up to which all read; passing on would save little. */
    private static final int ALL_READ = 4;
    /** Silence after which a reader is doubted: two heartbeats, within the shortest bound on a leaving endpoint. */
    private static final long SILENT_NANOS = 1_500_000_000L;
    /** Time without word of the store after which it is asked; a reader's longest wait for a change, and a bit. */
    private static final long STALE_NANOS = 5_500_000_000L;
    /** Changes kept for a table while its follower is busy; those beyond them are read from the store. */
    private static final int MOST_KEPT = 1_024;

    private final String self;
    private final String region;
    private final Ticker ticker;
    private final PeerSender peers;
    private final Map<String, Long> heard = new ConcurrentHashMap<>();
    private final Map<String, BlockingQueue<PeerMessage.StoreChanges>> inboxes = new ConcurrentHashMap<>();
    private final Map<String, Long> toldNanos = new ConcurrentHashMap<>();
    private volatile Set<String> readers = Set.of();
    private volatile List<String> followers = List.of();

    /**
     * Creates a relay of an entry instance that knows no other; it reads for itself.
     *
     * @param self name of this entry instance
     * @param region region of this entry instance
     * @param ticker clock
     * @param peers sends changes to the others
     */
    public ChangeRelay(String self, String region, Ticker ticker, PeerSender peers) {
        this.self = self;
        this.region = region;
        this.ticker = ticker;
        this.peers = peers;
    }

    /** Takes over the live entry instances, this one included, and decides anew who reads. */
    public void updateMembers(List<Member> members) {
        List<String> names = new ArrayList<>();
        List<String> staying = new ArrayList<>();
        for (Member member : members) {
            if (member.region().equals(region)) {
                names.add(member.name());
                if (!member.leaving()) {
                    staying.add(member.name());
                }
            }
        }
        heard.keySet().retainAll(new HashSet<>(names));
        boolean allRead = names.size() <= ALL_READ || staying.size() < READERS;
        List<String> chosen =
                allRead ? names : Rendezvous.order("store/" + region, staying).subList(0, READERS);
        names.removeAll(chosen);
        readers = Set.copyOf(chosen);
        followers = List.copyOf(names);
    }

    /** Notes a sign of life of a peer. */
    public void markAlive(String peer) {
        heard.put(peer, ticker.nanos());
    }

    /** Takes changes that a reader passed on. */
    public void receive(String from, PeerMessage.StoreChanges changes) {
        markAlive(from);
        toldNanos.put(changes.table(), ticker.nanos());
        BlockingQueue<PeerMessage.StoreChanges> inbox = inbox(changes.table());
        if (!inbox.offer(changes)) {
            // What is missing now is noticed by the versions of what comes next.
            inbox.clear();
        }
    }

    /** Returns whether readers tell this entry instance of the changes of a table, so that it need not read. */
    public boolean isRelayed(String table) {
        Set<String> current = readers;
        if (current.isEmpty() || current.contains(self)) {
            return false;
        }
        long now = ticker.nanos();
        Long told = toldNanos.get(table);
        return told != null && now - told < STALE_NANOS && current.stream().allMatch(reader -> isHeard(reader, now));
    }

    private boolean isHeard(String reader, long now) {
        Long at = heard.get(reader);
        return at != null && now - at < SILENT_NANOS;
    }

    /**
     * Waits for changes that a reader passes on.
     *
     * @param longestMs longest wait in ms
     * @throws InterruptedException if the thread is to end
     */
    public Optional<PeerMessage.StoreChanges> poll(String table, long longestMs) throws InterruptedException {
        return Optional.ofNullable(inbox(table).poll(longestMs, TimeUnit.MILLISECONDS));
    }

    /** Passes on what was read, nothing new included: it shows that the store answers. */
    public void forward(PeerMessage.StoreChanges changes) {
        if (!readers.contains(self)) {
            return;
        }
        for (String follower : followers) {
            peers.send(follower, changes);
        }
    }

    private BlockingQueue<PeerMessage.StoreChanges> inbox(String table) {
        return inboxes.computeIfAbsent(table, key -> new LinkedBlockingQueue<>(MOST_KEPT));
    }
}
