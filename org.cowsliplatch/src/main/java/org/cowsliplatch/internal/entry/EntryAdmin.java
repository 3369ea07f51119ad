package org.cowsliplatch.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.admin.AdminActions;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.once.KeyLedgerRegistry;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.proxy.CallerHandler;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.table.TableHead;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TableReader;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.SpanRing;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;

/**
 * Carries out the operations of the administration API on the components of an entry instance.
 *
 * @param settings settings
 * @param log table versions in force on this entry instance
 * @param reader reads the stored tables
 * @param editor edits the stored tables
 * @param membership live peers
 * @param broker slots held, waited for and granted
 * @param keys idempotency keys
 * @param callerHandler requests of callers
 * @param counters metrics
 * @param tracing traces
 * @param hooks functions of the entry instance as a whole
 */
record EntryAdmin(
        Settings settings,
        TableLog log,
        TableReader reader,
        TableEditor editor,
        Membership membership,
        SlotBroker broker,
        KeyLedgerRegistry keys,
        CallerHandler callerHandler,
        Metrics counters,
        Tracing tracing,
        Hooks hooks)
        implements AdminActions {
    /**
     * Functions of the entry instance as a whole.
     *
     * @param self returns its description
     * @param ready returns whether it serves requests
     * @param drain begins a planned stop
     */
    record Hooks(Supplier<Member> self, BooleanSupplier ready, Runnable drain) {}

    @Override
    public TableVersion tables() {
        return log.current();
    }

    @Override
    public List<String> regions() {
        return List.copyOf(settings.regions().keySet());
    }

    @Override
    public TableChange apply(TableEdit edit) throws TableException {
        rejectIfPeerIsAhead();
        restoreStoreIfBehind();
        TableChange change = editor.apply(edit);
        log.append("an operator", List.of(change));
        return change;
    }

    /**
     * Rejects an edit while a peer has a newer version: the store may have been restored to an older state, and the edit
     * would reuse the number of a version that is in force on that peer.
     */
    private void rejectIfPeerIsAhead() throws TableException {
        long localVersion = log.current().number();
        for (Member peer : membership.peers()) {
            if (peer.tableVersion() > localVersion) {
                throw new TablesUnavailableException(
                        "version " + peer.tableVersion() + " is in force on " + peer.name() + " and " + localVersion
                                + " here; try again in a moment",
                        null);
            }
        }
    }

    /** Writes accepted versions back to a store that was restored to an older state, before the next edit. */
    private void restoreStoreIfBehind() throws TableException {
        TableHead head = reader.head();
        if (head.version() >= log.current().number()) {
            return;
        }
        counters.alarm("store-restored");
        editor.rollForward(log.changesAfter(head.version()));
    }

    @Override
    public List<TableChange> history(long after, int limit) throws TableException {
        return reader.changesAfter(after, limit);
    }

    @Override
    public Status status() {
        List<GroupStatus> groups = new ArrayList<>();
        for (PeerMessage.GroupReport report : broker.loads()) {
            groups.add(new GroupStatus(
                    report.group().pool(),
                    report.group().region(),
                    report.load().slots(),
                    report.load().free(),
                    report.load().outstanding(),
                    report.load().waiting()));
        }
        return new Status(
                status(hooks.self().get()),
                isReady(),
                callerHandler.inFlight(),
                broker.inUse(),
                keys.size(),
                groups,
                membership.peers().stream().map(EntryAdmin::status).toList());
    }

    private static InstanceStatus status(Member member) {
        return new InstanceStatus(
                member.name(),
                member.region(),
                member.zone(),
                member.callerAddress(),
                member.adminAddress(),
                member.leaving(),
                member.tableVersion());
    }

    @Override
    public void drain() {
        hooks.drain().run();
    }

    @Override
    public boolean isReady() {
        return hooks.ready().getAsBoolean();
    }

    @Override
    public byte[] metrics() {
        return counters.text();
    }

    @Override
    public List<SpanRing.SpanText> trace(String traceId) {
        return tracing.ring().trace(traceId);
    }
}
