package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TableSync;
import org.cowsliplatch.internal.table.TablesFormat;
import org.cowsliplatch.table.TableVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requesting the same whole tables from each peer that announces them. */
final class TableSyncTest {
    private final ManualTicker ticker = new ManualTicker();
    private final TableLog log = new TableLog((version, acceptedAtMs) -> {});
    /** Names of the peers from which tables were requested. */
    private final List<String> requested = new ArrayList<>();

    private final TableSync sync =
            new TableSync(ticker, log, (to, message) -> requested.add(to), TablesFormat.JSON, () -> {});

    @BeforeEach
    void start() throws TableException {
        log.adopt("the store", version(1));
    }

    private static TableVersion version(long number) throws TableException {
        return new TableVersion(
                number,
                TestSystem.tables(
                        "case-lookup,*,/cases,GET,lookup,yes,cases,5s\n", "cases,case-lookup,3,svealand=1,0s,1000\n"));
    }

    private void announce(String peer, long version) {
        sync.onAnnouncement(new Member(
                peer, "0", "r", "z", "", "", "", MemberPhase.ACTIVE, version, "digest", "", List.of(), List.of()));
    }

    @Test
    void tablesThatManyPeersAnnounceAreRequestedOnce() {
        for (int i = 0; i < 50; i++) {
            announce("peer-" + i, 2);
        }
        sync.retry();

        assertThat(requested).containsExactly("peer-0");
    }

    @Test
    void newerTablesAreRequestedAtOnce() {
        announce("a", 2);
        announce("b", 3);

        assertThat(requested).containsExactly("a", "b").inOrder();
    }

    @Test
    void tablesThatDoNotArriveAreRequestedFromAnotherPeer() {
        announce("a", 2);
        announce("b", 2);
        ticker.advanceMs(400);
        sync.retry();
        sync.retry();

        assertThat(requested).containsExactly("a", "b").inOrder();
    }

    @Test
    void nothingIsRequestedOnceTheTablesAreInForce() throws TableException {
        announce("a", 2);
        announce("b", 2);
        sync.receive("a", new PeerMessage.TablesWhole(2, TablesFormat.JSON.text(version(2))));
        ticker.advanceMs(400);
        sync.retry();

        assertThat(log.current().number()).isEqualTo(2);
        assertThat(requested).containsExactly("a");
    }
}
