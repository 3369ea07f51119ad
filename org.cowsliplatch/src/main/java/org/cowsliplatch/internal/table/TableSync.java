package org.cowsliplatch.internal.table;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Exchanges table versions between peers, so that a change spreads even while the store is unavailable. */
public final class TableSync {
    private static final Logger LOG = Logger.getLogger(TableSync.class);

    /** Time in ns after which tables that were requested from one peer are requested from another. */
    private static final long ANSWER_TIMEOUT_NANOS = 300_000_000L;

    /**
     * A version that a peer has and this entry instance lacks.
     *
     * @param peer name of the peer
     * @param version number of the version
     */
    private record Offer(String peer, long version) {}

    private final TableLog log;
    private final PeerSender peers;
    private final TablesFormat format;
    private final Runnable onRejection;
    private final Ticker ticker;
    /** Offers of newer versions by peer, latest last; guarded by this object. */
    private final Map<String, Offer> offers = new LinkedHashMap<>();

    /** The offer that was taken last, until the tables arrive. */
    private @Nullable Offer requested;

    private long requestedNanos;

    /**
     * Creates a table sync.
     *
     * @param ticker clock
     * @param log version in force on this entry instance
     * @param peers sends messages to peers
     * @param format format of whole tables
     * @param onRejection called after tables of a peer were rejected
     */
    public TableSync(Ticker ticker, TableLog log, PeerSender peers, TablesFormat format, Runnable onRejection) {
        this.ticker = ticker;
        this.log = log;
        this.peers = peers;
        this.format = format;
        this.onRejection = onRejection;
    }

    /**
     * Handles the announcement of the version in force on a peer; requests newer tables from it, unless they were requested
     * from another peer just before. All peers announce a version at about the same time, and whole tables are large.
     */
    public void onAnnouncement(Member member) {
        try {
            TableLog.VersionComparison comparison =
                    log.compare("peer " + member.name(), member.tableVersion(), member.tableDigest());
            if (comparison == TableLog.VersionComparison.BEHIND) {
                offered(new Offer(member.name(), member.tableVersion()));
            }
        } catch (TableRegressionException e) {
            reject(e);
        }
    }

    private void offered(Offer offer) {
        synchronized (this) {
            offers.remove(offer.peer());
            offers.put(offer.peer(), offer);
            Offer pending = requested;
            if (pending != null
                    && pending.version() >= offer.version()
                    && ticker.nanos() - requestedNanos < ANSWER_TIMEOUT_NANOS) {
                return;
            }
            take(offer);
        }
        request(offer);
    }

    /** Requests tables that were requested before and did not arrive from another peer; to be called now and then. */
    public void retry() {
        Offer offer;
        synchronized (this) {
            long current = log.current().number();
            offers.values().removeIf(known -> known.version() <= current);
            if (offers.isEmpty() || ticker.nanos() - requestedNanos < ANSWER_TIMEOUT_NANOS) {
                return;
            }
            offer = bestOffer();
            take(offer);
        }
        request(offer);
    }

    /** Returns the offer of the highest version, preferably one that was not taken last. */
    private Offer bestOffer() {
        return Collections.max(
                offers.values(),
                Comparator.comparingLong(Offer::version).thenComparing(offer -> !offer.equals(requested)));
    }

    private void take(Offer offer) {
        requested = offer;
        requestedNanos = ticker.nanos();
    }

    private void request(Offer offer) {
        peers.send(offer.peer(), new PeerMessage.TablesWanted(log.current().number()));
    }

    /** Handles a message from a peer; messages that are not about tables are ignored. */
    public void receive(String from, PeerMessage message) {
        try {
            if (message instanceof PeerMessage.TablesWanted wanted) {
                sendTablesAfter(from, wanted.after());
            } else if (message instanceof PeerMessage.TablesChanges changes) {
                log.append("peer " + from, decode(changes.changes()));
            } else if (message instanceof PeerMessage.TablesWhole whole) {
                log.adopt("peer " + from, format.read(whole.version(), whole.document()));
            }
        } catch (TableException e) {
            reject(e);
        }
    }

    private void sendTablesAfter(String from, long after) {
        TableVersion inForce = log.current();
        if (inForce.number() <= after) {
            return;
        }
        List<TableChange> changes = log.changesAfter(after);
        if (changes.isEmpty()) {
            peers.send(from, new PeerMessage.TablesWhole(inForce.number(), format.text(inForce)));
            return;
        }
        peers.send(
                from,
                new PeerMessage.TablesChanges(
                        changes.stream().map(TableCodec::text).toList()));
    }

    private static List<TableChange> decode(List<String> texts) throws TableException {
        List<TableChange> changes = new ArrayList<>();
        for (String text : texts) {
            changes.add(TableCodec.change(text));
        }
        return changes;
    }

    private void reject(TableException e) {
        LOG.errorf("rejected tables from a peer: %s", e.getMessage());
        onRejection.run();
    }
}
