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

/** Exchanges table versions between peers, so that a change spreads even while the store is unavailable. */
public final class TableSync {
    private static final Logger LOG = Logger.getLogger(TableSync.class);

    private final TableLog log;
    private final PeerSender peers;
    private final TablesFormat format;
    private final Runnable onRejection;

    /**
     * Creates a table sync.
     *
     * @param log version in force on this entry instance
     * @param peers sends messages to peers
     * @param format format of whole tables
     * @param onRejection called after tables of a peer were rejected
     */
    public TableSync(TableLog log, PeerSender peers, TablesFormat format, Runnable onRejection) {
        this.log = log;
        this.peers = peers;
        this.format = format;
        this.onRejection = onRejection;
    }

    /** Handles the announcement of the version in force on a peer; requests newer tables from it. */
    public void onAnnouncement(Member member) {
        try {
            TableLog.VersionComparison comparison =
                    log.compare("peer " + member.name(), member.tableVersion(), member.tableDigest());
            if (comparison == TableLog.VersionComparison.BEHIND) {
                peers.send(
                        member.name(),
                        new PeerMessage.TablesWanted(log.current().number()));
            }
        } catch (TableRegressionException e) {
            reject(e);
        }
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
