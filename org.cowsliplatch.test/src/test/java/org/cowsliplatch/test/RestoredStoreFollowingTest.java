package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cowsliplatch.errors.HistoryLostException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.follow.ChangeRelay;
import org.cowsliplatch.internal.follow.ReadTimes;
import org.cowsliplatch.internal.follow.RestoredRows;
import org.cowsliplatch.internal.follow.StoreTableWatcher;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.platform.RowStore;
import org.junit.jupiter.api.Test;

/** Tests what follows the store when it returns from a copy in a new era and its versions go back. */
final class RestoredStoreFollowingTest {
    private static final ReadTimes TIMES = ReadTimes.within(Duration.ofMillis(2_500));

    private final ManualTicker ticker = new ManualTicker();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> events = new ArrayList<>();
    private final ChangeRelay relay = new ChangeRelay("self", "r", ticker, TIMES, (member, message) -> {});
    private final StoreTableWatcher watcher = new StoreTableWatcher(
            store, "t", TIMES, ticker, new SplittableRandom(1), new RecordingListener(), DecisionLog.none(), relay);

    /** A store whose answers are given in advance; records the version that each feed is resumed from. */
    private static final class ScriptedStore implements RowStore {
        final Deque<Rows> reads = new ArrayDeque<>();
        final Deque<Rows> changes = new ArrayDeque<>();
        final List<Long> resumedFrom = new ArrayList<>();

        @Override
        public Rows read(String table) throws PlatformUnavailableException {
            return next(reads);
        }

        @Override
        public Rows follow(String table, long after, Duration wait, Duration answerTimeout)
                throws HistoryLostException, PlatformUnavailableException {
            resumedFrom.add(after);
            return next(changes);
        }

        private static Rows next(Deque<Rows> answers) throws PlatformUnavailableException {
            Rows next = answers.pollFirst();
            if (next == null) {
                throw new PlatformUnavailableException("the store", "no answer", null);
            }
            return next;
        }

        @Override
        public void put(String table, String key, byte[] value) {
            throw new AssertionError("nothing is written here");
        }

        @Override
        public void remove(String table, String key) {
            throw new AssertionError("nothing is removed here");
        }
    }

    private final class RecordingListener implements StoreTableWatcher.Listener {
        @Override
        public void put(RowStore.Row row) {
            events.add("+" + row.key());
        }

        @Override
        public void removed(String key, boolean storeReturned) {
            events.add((storeReturned ? "?" : "-") + key);
        }

        @Override
        public void batchCompleted() {}
    }

    private static RowStore.Row row(String key, long version) {
        return new RowStore.Row(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static RowStore.Rows rows(long era, long version, RowStore.Row... rows) {
        return new RowStore.Rows(List.of(rows), version, era);
    }

    private void step(int times) {
        for (int i = 0; i < times; i++) {
            try {
                watcher.step();
            } catch (InterruptedException e) {
                throw new AssertionError("nobody interrupts this thread", e);
            }
        }
    }

    @Test
    void feedOfANewEraIsReadAgainFromTheStart() {
        store.reads.add(rows(1, 9, row("a", 1), row("lost", 9)));
        store.changes.add(rows(2, 12, row("c", 12)));
        store.reads.add(rows(2, 12, row("a", 1), row("b", 8), row("c", 12)));
        store.changes.add(rows(2, 12));
        step(4);

        assertThat(events)
                .containsExactly("+a", "+lost", "+a", "+b", "+c", "?lost")
                .inOrder();
        assertThat(store.resumedFrom).containsExactly(9L, 12L).inOrder();
        assertThat(watcher.era()).isEqualTo(2);
    }

    @Test
    void lowerVersionOfANewEraIsAccepted() {
        store.reads.add(rows(1, 9, row("a", 1)));
        store.changes.add(rows(2, 4));
        store.reads.add(rows(2, 4, row("b", 4)));
        step(3);

        assertThat(events).containsExactly("+a", "+b", "?a").inOrder();
    }

    @Test
    void answerOfAnEarlierEraIsIgnored() {
        store.reads.add(rows(2, 4, row("a", 1)));
        store.changes.add(rows(1, 30, row("old", 30)));
        store.reads.add(rows(1, 30, row("old", 30)));
        store.reads.add(rows(2, 5, row("a", 1)));
        step(4);

        assertThat(events).containsExactly("+a", "+a").inOrder();
        assertThat(watcher.era()).isEqualTo(2);
    }

    @Test
    void lowerEraIsAcceptedOnceNoLateAnswerCanExplainIt() {
        store.reads.add(rows(5, 9, row("a", 1)));
        for (int i = 0; i < 2; i++) {
            store.reads.add(rows(1, 3, row("b", 3)));
        }
        store.changes.add(rows(1, 3));
        step(3);
        assertThat(events).containsExactly("+a");
        ticker.advanceMs(6_100);
        step(1);

        assertThat(events).containsExactly("+a", "+b", "?a").inOrder();
        assertThat(watcher.era()).isEqualTo(1);
    }

    @Test
    void answerWithoutEraIsOfTheKnownOne() {
        store.reads.add(rows(3, 9, row("a", 1)));
        store.changes.add(rows(RowStore.UNKNOWN_ERA, 10, row("b", 10)));
        step(2);

        assertThat(events).containsExactly("+a", "+b").inOrder();
        assertThat(watcher.era()).isEqualTo(3);
    }

    @Test
    void relayedChangesOfAnotherEraAreNotAppliedByVersion() {
        List<String> readers = followReaders();
        store.reads.add(rows(2, 9, row("a", 1)));
        step(1);
        relayChanges(readers.get(0), 1, 9, 12, row("old", 12));
        step(1);
        assertThat(events).containsExactly("+a");

        store.reads.add(rows(3, 7, row("c", 7)));
        relayChanges(readers.get(0), 3, 6, 7, row("c", 7));
        step(1);
        assertThat(events).containsExactly("+a", "+c", "?a").inOrder();
    }

    /** Makes this entry instance a follower in a region of 30; returns the names of the readers. */
    private List<String> followReaders() {
        List<String> names = new ArrayList<>(List.of("self"));
        for (int i = 0; names.size() < 30; i++) {
            if (Rendezvous.order("store/r", List.of("self", "e" + i)).get(1).equals("self")) {
                names.add("e" + i);
            }
        }
        relay.updateMembers(names.stream()
                .map(name -> new Member(
                        name, "0", "r", "z", "", "", "", MemberPhase.ACTIVE, 1, "", "", List.of(), List.of()))
                .toList());
        List<String> readers = Rendezvous.order("store/r", names).subList(0, 3);
        readers.forEach(relay::markAlive);
        return readers;
    }

    private void relayChanges(String reader, long era, long after, long version, RowStore.Row... rows) {
        relay.receive(reader, new PeerMessage.StoreChanges("t", after, List.of(rows), version, false, era));
    }

    @Test
    void removedRowIsNotRevivedByACopyUntilTheStoreKeepsIt() {
        RestoredRows rows = new RestoredRows(ticker);
        assertThat(rows.put("k", 3)).isTrue();
        rows.remove("k");

        assertThat(rows.put("k", 3)).isFalse();
        assertThat(rows.settle()).isEmpty();
        ticker.advanceMs(10_100);
        assertThat(rows.settle()).containsExactly(new RestoredRows.Settled("k", RestoredRows.Disagreement.REVIVED));
        assertThat(rows.put("k", 3)).isTrue();
    }

    @Test
    void lostRowStaysUntilItIsWrittenAgainOrTimeIsUp() {
        RestoredRows rows = new RestoredRows(ticker);
        rows.put("k", 9);
        rows.put("l", 9);
        rows.lose("k");
        rows.lose("l");
        assertThat(rows.put("k", 4)).isTrue();
        ticker.advanceMs(10_100);

        assertThat(rows.settle()).containsExactly(new RestoredRows.Settled("l", RestoredRows.Disagreement.LOST));
    }
}
