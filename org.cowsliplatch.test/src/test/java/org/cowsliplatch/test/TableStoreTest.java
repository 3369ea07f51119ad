package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowsliplatch.errors.TableConflictException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableOutcomeUnknownException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.table.TableEditor;
import org.cowsliplatch.internal.table.TableFollower;
import org.cowsliplatch.internal.table.TableLog;
import org.cowsliplatch.internal.table.TableReader;
import org.cowsliplatch.internal.table.TableSync;
import org.cowsliplatch.internal.table.TablesFormat;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;
import org.junit.jupiter.api.Test;

/** Edits, versions and their distribution, with a store that fails, loses answers or is restored to an older state. */
final class TableStoreTest {
    private final MemoryPlatform platform = MemoryPlatform.create();
    private final TableEditor editor = new TableEditor(platform.tables(), platform.objects(), InstantSource.system());
    private final TableReader reader = new TableReader(platform.tables(), platform.objects());
    private final List<Long> inForce = new ArrayList<>();
    private final TableLog log = new TableLog((version, acceptedAtMs) -> inForce.add(version.number()));
    private final TableFollower follower = new TableFollower(reader, log, new SplittableRandom(1));

    private static Tables tables(int timeoutS) throws TableException {
        return TestSystem.tables(
                "case-lookup,*,/cases,GET,lookup,yes,cases," + timeoutS + "s\n",
                "cases,case-lookup,3,svealand=1,0s,100\n");
    }

    private static TableEdit edit(String id, long base, int timeoutS) throws TableException {
        return new TableEdit("edit-000" + id, "test", base, tables(timeoutS));
    }

    @Test
    void acceptedEditIsReadBack() throws TableException {
        editor.apply(edit("1", 0, 1));
        TableChange second = editor.apply(edit("2", 1, 2));

        assertThat(second.version()).isEqualTo(2);
        assertThat(reader.current().tables()).isEqualTo(tables(2));
        assertThat(reader.at(1).tables()).isEqualTo(tables(1));
        assertThat(second.diff().text()).isEqualTo("~ routes/case-lookup timeout: 1s -> 2s");
    }

    @Test
    void secondEditOnSameBaseIsRejectedAsConflict() throws TableException {
        editor.apply(edit("1", 0, 1));
        editor.apply(edit("2", 1, 2));

        TableConflictException conflict =
                assertThrows(TableConflictException.class, () -> editor.apply(edit("3", 1, 3)));

        assertThat(conflict.head()).isEqualTo(2);
        assertThat(conflict.theirs().text()).contains("1s -> 2s");
        assertThat(conflict.yours().text()).contains("1s -> 3s");
        assertThat(reader.head().version()).isEqualTo(2);
    }

    @Test
    void lostAnswerIsResolvedAsAccepted() throws TableException {
        platform.tables().faults().loseAnswers(1);

        assertThat(editor.apply(edit("1", 0, 1)).version()).isEqualTo(1);
        assertThat(reader.head().version()).isEqualTo(1);
    }

    @Test
    void repeatedEditWithSameIdHasNoEffect() throws TableException {
        editor.apply(edit("1", 0, 1));
        editor.apply(edit("2", 1, 2));

        assertThat(editor.apply(edit("1", 0, 1)).version()).isEqualTo(1);
        assertThat(reader.head().version()).isEqualTo(2);
    }

    @Test
    void unreadableOutcomeIsReportedAsUnknownAndResolvedLater() throws TableException {
        platform.tables().faults().loseAnswers(1);
        UnavailableAfterFirstWrite failing = new UnavailableAfterFirstWrite(platform.tables());
        TableEditor failingEditor = new TableEditor(failing, platform.objects(), InstantSource.system());

        TableOutcomeUnknownException unknown =
                assertThrows(TableOutcomeUnknownException.class, () -> failingEditor.apply(edit("1", 0, 1)));

        assertThat(unknown.editId()).isEqualTo("edit-0001");
        platform.tables().faults().failNext(0);
        assertThat(editor.apply(edit("1", 0, 1)).version()).isEqualTo(1);
    }

    /** Table service that becomes unavailable after its first write. */
    private record UnavailableAfterFirstWrite(org.cowsliplatch.standin.MemoryTableService inner)
            implements TableService {
        @Override
        public java.util.Optional<Row> read(String key) throws org.cowsliplatch.errors.PlatformUnavailableException {
            return inner.read(key);
        }

        @Override
        public List<Row> scan(String prefix, String from, int limit)
                throws org.cowsliplatch.errors.PlatformUnavailableException {
            return inner.scan(prefix, from, limit);
        }

        @Override
        public void write(List<Write> batch)
                throws org.cowsliplatch.errors.RowChangedException,
                        org.cowsliplatch.errors.PlatformUnavailableException,
                        org.cowsliplatch.errors.WriteOutcomeUnknownException {
            try {
                inner.write(batch);
            } finally {
                inner.faults().failNext(100);
            }
        }
    }

    @Test
    void editIsNotAcceptedWhileStoreIsUnavailable() throws TableException {
        platform.storeAway(true);
        assertThrows(TablesUnavailableException.class, () -> editor.apply(edit("1", 0, 1)));
        platform.storeAway(false);

        assertThat(reader.head().version()).isEqualTo(0);
    }

    @Test
    void followerPutsNewVersionsIntoForceAndBacksOffAfterFailures() throws TableException {
        editor.apply(edit("1", 0, 1));
        assertThat(follower.poll()).isEqualTo(TableFollower.PollResult.UP_TO_DATE);
        editor.apply(edit("2", 1, 2));
        editor.apply(edit("3", 2, 3));
        follower.poll();
        assertThat(inForce).containsExactly(1L, 2L, 3L).inOrder();

        platform.storeAway(true);
        for (int i = 0; i < 6; i++) {
            assertThat(follower.poll()).isEqualTo(TableFollower.PollResult.STORE_UNAVAILABLE);
        }
        assertThat(follower.nextDelayMs()).isAtLeast(4_000);
        assertThat(log.current().number()).isEqualTo(3);
    }

    @Test
    void restoredOlderStoreDoesNotRevertAndIsRolledForward() throws TableException {
        editor.apply(edit("1", 0, 1));
        follower.poll();
        Map<String, TableService.Row> backup = platform.tables().backup();
        editor.apply(edit("2", 1, 2));
        follower.poll();
        platform.tables().restore(backup);

        assertThat(follower.poll()).isEqualTo(TableFollower.PollResult.REJECTED);
        assertThat(log.current().number()).isEqualTo(2);

        editor.rollForward(log.changesAfter(reader.head().version()));
        assertThat(follower.poll()).isEqualTo(TableFollower.PollResult.UP_TO_DATE);
        assertThat(editor.apply(edit("3", 2, 3)).version()).isEqualTo(3);
    }

    @Test
    void sameNumberWithOtherContentIsRejected() throws TableException {
        editor.apply(edit("1", 0, 1));
        follower.poll();

        assertThrows(TableRegressionException.class, () -> log.compare("a peer", 1, "other"));
        assertThrows(TableRegressionException.class, () -> log.adopt("a peer", new TableVersion(1, tables(9))));
        assertThat(log.current().tables()).isEqualTo(tables(1));
    }

    @Test
    void delayedPeerMessageDoesNotRevertTables() throws TableException {
        editor.apply(edit("1", 0, 1));
        follower.poll();
        List<TableChange> old = log.changesAfter(0);
        editor.apply(edit("2", 1, 2));
        follower.poll();

        log.adopt("a peer", new TableVersion(1, tables(1)));

        assertThat(old).hasSize(1);
        assertThat(log.append("a peer", old)).isTrue();
        assertThat(log.current().number()).isEqualTo(2);
    }

    @Test
    void peersExchangeChangesWhileStoreIsUnavailable() throws TableException {
        TableLog other = new TableLog((version, acceptedAtMs) -> {});
        TableSync[] syncs = new TableSync[2];
        syncs[0] = new TableSync(
                new ManualTicker(), log, (to, message) -> syncs[1].receive("a", message), TablesFormat.JSON, () -> {});
        syncs[1] = new TableSync(
                new ManualTicker(),
                other,
                (to, message) -> syncs[0].receive("b", message),
                TablesFormat.JSON,
                () -> {});
        editor.apply(edit("1", 0, 1));
        follower.poll();
        editor.apply(edit("2", 1, 2));
        follower.poll();
        platform.storeAway(true);

        syncs[0].receive("b", new PeerMessage.TablesWanted(0));
        assertThat(other.current().number()).isEqualTo(2);
        syncs[0].receive("b", new PeerMessage.TablesWanted(1));
        assertThat(other.current().tables()).isEqualTo(tables(2));
    }

    @Test
    void readerReadsFewChangesAfterSnapshot() throws TableException {
        for (int i = 1; i <= 120; i++) {
            editor.apply(new TableEdit("edit-" + (10_000 + i), "test", i - 1, tables(i)));
        }
        long before = platform.tables().reads();

        assertThat(reader.current().tables()).isEqualTo(tables(120));
        assertThat(platform.tables().reads() - before).isAtMost(4);
    }
}
