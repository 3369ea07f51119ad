package org.cowsliplatch.internal.table;

import java.util.ArrayList;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.jboss.logging.Logger;

/** Passes table versions from peer to peer, so that a change spreads even while the store is away. */
public final class TableSync {
    private static final Logger LOG = Logger.getLogger(TableSync.class);

    private final TableLog log;
    private final PeerSender peers;
    private final TablesFormat documents;
    private final Runnable onRefusal;

    /**
     * Creates a sync.
     *
     * @param log versions in force here
     * @param peers sends messages
     * @param documents form of whole tables
     * @param onRefusal told when a peer offered something that contradicts what is in force
     */
    public TableSync(TableLog log, PeerSender peers, TablesFormat documents, Runnable onRefusal) {
        this.log = log;
        this.peers = peers;
        this.documents = documents;
        this.onRefusal = onRefusal;
    }

    /** A peer told which version is in force on it; asks it for what is missing here. */
    public void onAnnouncement(Member member) {
        try {
            TableLog.VersionComparison standing =
                    log.compare("peer " + member.name(), member.tableVersion(), member.tableDigest());
            if (standing == TableLog.VersionComparison.BEHIND) {
                peers.send(
                        member.name(),
                        new PeerMessage.TablesWanted(log.current().number()));
            }
        } catch (TableRegressionException e) {
            refuse(e);
        }
    }

    /** Handles a message of a peer; messages that are not about tables are passed over. */
    public void receive(String from, PeerMessage message) {
        try {
            if (message instanceof PeerMessage.TablesWanted wanted) {
                answer(from, wanted.after());
            } else if (message instanceof PeerMessage.TablesChanges changes) {
                log.append("peer " + from, decode(changes.changes()));
            } else if (message instanceof PeerMessage.TablesWhole whole) {
                log.adopt("peer " + from, documents.read(whole.version(), whole.document()));
            }
        } catch (TableException e) {
            refuse(e);
        }
    }

    private void answer(String from, long after) {
        TableVersion mine = log.current();
        if (mine.number() <= after) {
            return;
        }
        List<TableChange> changes = log.changesAfter(after);
        if (changes.isEmpty()) {
            peers.send(from, new PeerMessage.TablesWhole(mine.number(), documents.text(mine)));
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

    private void refuse(TableException e) {
        LOG.errorf("refused tables of a peer: %s", e.getMessage());
        onRefusal.run();
    }
}
