package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.errors.HistoryLostException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.follow.ChangeRelay;
import org.cowsliplatch.internal.follow.ReadTimes;
import org.cowsliplatch.internal.follow.StoreTableWatcher;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.steer.EndpointRegistry;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.platform.EndpointRow;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.RowStore;
import org.junit.jupiter.api.Test;

/** Tests for watching tables of the store and for the endpoint registry, on a manual clock. */
final class FollowingTest {
    private static final ReadTimes TIMES = ReadTimes.within(Duration.ofMillis(2_500));

    private final ManualTicker ticker = new ManualTicker();
    private final EndpointRegistry registry = new EndpointRegistry(Map.of("z", "r"), ticker, DecisionLog.none());
    private final FakeStore store = new FakeStore();
    private final List<String> events = new ArrayList<>();
    /** Forwarded changes by receiver. */
    private final Map<String, List<PeerMessage>> forwarded = new TreeMap<>();

    private final ChangeRelay relay = new ChangeRelay("self", "r", ticker, TIMES, (member, message) -> forwarded
            .computeIfAbsent(member, key -> new ArrayList<>())
            .add(message));
    private final StoreTableWatcher watcher = new StoreTableWatcher(
            store, "t", TIMES, ticker, new SplittableRandom(1), new RecordingListener(), DecisionLog.none(), relay);

    /** A store with scripted answers; an empty one makes the read fail. */
    private static final class FakeStore implements RowStore {
        final Deque<Optional<Rows>> reads = new ArrayDeque<>();
        final Deque<Optional<Rows>> changes = new ArrayDeque<>();
        final List<Duration> waits = new ArrayList<>();
        final List<Duration> answerTimeouts = new ArrayList<>();
        Runnable beforeAnswer = () -> {};
        boolean historyLost;
        List<Row> last = List.of();

        @Override
        public Rows read(String table) throws PlatformUnavailableException {
            return next(reads);
        }

        @Override
        public Rows follow(String table, long after, Duration wait, Duration answerTimeout)
                throws HistoryLostException, PlatformUnavailableException {
            waits.add(wait);
            answerTimeouts.add(answerTimeout);
            if (historyLost) {
                historyLost = false;
                throw new HistoryLostException(table, after);
            }
            beforeAnswer.run();
            Rows next = next(changes);
            last = next.rows();
            return next;
        }

        private static Rows next(Deque<Optional<Rows>> answers) throws PlatformUnavailableException {
            return answers.removeFirst()
                    .orElseThrow(() -> new PlatformUnavailableException("the store", "no answer", null));
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

    private static RowStore.Row removedRow(String key, long version) {
        return new RowStore.Row(key, version, Optional.empty());
    }

    private static Optional<RowStore.Rows> rows(long version, RowStore.Row... rows) {
        return Optional.of(new RowStore.Rows(List.of(rows), version));
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

    /** Makes this entry instance one of 30 in its region; returns the names of the readers there. */
    private List<String> joinLargeRegion(boolean asReader) {
        List<String> names = new ArrayList<>(List.of("self"));
        for (int i = 0; names.size() < 30; i++) {
            boolean before =
                    Rendezvous.order("store/r", List.of("self", "e" + i)).get(1).equals("self");
            if (before != asReader) {
                names.add("e" + i);
            }
        }
        relay.updateMembers(names.stream().map(FollowingTest::member).toList());
        return Rendezvous.order("store/r", names).subList(0, 3);
    }

    private static Member member(String name) {
        return new Member(name, "0", "r", "z", "", "", "", MemberPhase.ACTIVE, 1, "", "", List.of(), List.of());
    }

    private void relayChanges(String reader, long after, long version, RowStore.Row... rows) {
        relay.receive(reader, new PeerMessage.StoreChanges("t", after, List.of(rows), version, false));
    }

    @Test
    void followerAppliesRelayedChangesWithoutReadingTheStore() {
        List<String> readers = joinLargeRegion(false);
        store.reads.add(rows(5, row("a", 1)));
        step(1);
        readers.forEach(relay::markAlive);
        relayChanges(readers.get(0), 5, 7, row("b", 7));
        relayChanges(readers.get(1), 4, 7, row("c", 5), row("b", 7));
        relayChanges(readers.get(0), 7, 9, removedRow("a", 9));
        step(3);

        assertThat(events).containsExactly("+a", "+b", "-a").inOrder();
    }

    @Test
    void followerReadsMissedChangesFromTheStore() {
        List<String> readers = joinLargeRegion(false);
        store.reads.add(rows(5, row("a", 1)));
        store.changes.add(rows(9, row("b", 6), row("c", 9)));
        step(1);
        readers.forEach(relay::markAlive);
        relayChanges(readers.get(0), 8, 9, row("c", 9));
        step(1);

        assertThat(events).containsExactly("+a", "+b", "+c").inOrder();
    }

    @Test
    void followerReadsTheStoreOnceAReaderIsSilent() {
        List<String> readers = joinLargeRegion(false);
        readers.forEach(relay::markAlive);
        relayChanges(readers.get(0), 5, 5);
        assertThat(relay.isRelayed("t")).isTrue();
        ticker.advanceMs(1_600);
        relay.markAlive(readers.get(0));
        relay.markAlive(readers.get(1));

        assertThat(relay.isRelayed("t")).isFalse();
    }

    @Test
    void followerReadsTheStoreWhenReadersRelayNothing() {
        List<String> readers = joinLargeRegion(false);
        relayChanges(readers.get(0), 5, 5);
        ticker.advanceMs(6_000);
        readers.forEach(relay::markAlive);

        assertThat(relay.isRelayed("t")).isFalse();
    }

    @Test
    void followerReadsTheStoreWithinTheBoundWhenItsReadersAreTurnedAwayByIt() {
        List<String> readers = joinLargeRegion(false);
        relayChanges(readers.get(0), 5, 5);
        readers.forEach(relay::markAlive);
        ticker.advanceMs(1_000);
        readers.forEach(relay::markAlive);
        assertThat(relay.isRelayed("t")).isTrue();
        ticker.advanceMs(1_000);
        readers.forEach(relay::markAlive);

        assertThat(relay.isRelayed("t")).isFalse();
    }

    @Test
    void answerThatComesLateWithoutChangesIsNotForwarded() {
        joinLargeRegion(true);
        store.reads.add(rows(5, row("a", 1)));
        store.changes.add(rows(5));
        store.changes.add(rows(5));
        step(2);
        assertThat(forwarded.values().iterator().next()).hasSize(1);
        store.beforeAnswer = () ->
                ticker.advanceMs(TIMES.pollWait().plus(TIMES.answerTimeout()).toMillis() + 1);

        step(1);

        assertThat(forwarded.values().iterator().next()).hasSize(1);
    }

    @Test
    void readerForwardsChangesToAllFollowers() {
        joinLargeRegion(true);
        store.reads.add(rows(5, row("a", 1)));
        store.changes.add(rows(9, row("b", 6)));
        step(2);

        assertThat(forwarded).hasSize(27);
        assertThat(forwarded.values().iterator().next())
                .containsExactly(new PeerMessage.StoreChanges("t", 5, store.last, 9, false));
    }

    @Test
    void allMembersReadInASmallRegionAndWithoutPeers() {
        assertThat(relay.isRelayed("t")).isFalse();
        relay.updateMembers(List.of(member("self"), member("b"), member("c"), member("d")));
        relay.markAlive("b");
        relayChanges("b", 5, 5);

        assertThat(relay.isRelayed("t")).isFalse();
    }

    @Test
    void rowsThatDisappearedWhileTheHistoryWasLostAreRemoved() {
        store.reads.add(rows(5, row("a", 1), row("b", 2)));
        store.reads.add(rows(9, row("b", 2), row("c", 8)));
        step(1);
        store.historyLost = true;
        step(2);

        assertThat(events).containsExactly("+a", "+b", "+b", "+c", "-a").inOrder();
    }

    @Test
    void changesAndRemovalsAreReportedInOrder() {
        store.reads.add(rows(5, row("a", 1)));
        store.changes.add(rows(7, row("b", 6), removedRow("a", 7)));
        step(2);

        assertThat(events).containsExactly("+a", "+b", "-a").inOrder();
    }

    /** The last of them may be a late write, which the listener passes over. */
    @Test
    void allVersionsOfARowAreReported() {
        store.reads.add(rows(5));
        store.changes.add(rows(8, row("a", 6), row("a", 8)));
        step(2);

        assertThat(events).containsExactly("+a", "+a").inOrder();
    }

    @Test
    void removalsRightAfterTheStoreReturnedAreMarked() {
        store.reads.add(rows(5, row("a", 1), row("b", 2)));
        store.changes.add(Optional.empty());
        store.changes.add(rows(7, removedRow("a", 6)));
        store.changes.add(rows(8, removedRow("b", 8)));
        step(2);
        ticker.advanceMs(5_000);
        step(1);
        ticker.advanceMs(2_100);
        step(1);

        assertThat(events).containsExactly("+a", "+b", "?a", "-b").inOrder();
    }

    @Test
    void removalThatOnlyALostConnectionHidIsNotHeldBack() {
        store.reads.add(rows(5, row("a", 1)));
        store.changes.add(Optional.empty());
        store.changes.add(rows(7, removedRow("a", 6)));
        step(1);
        store.beforeAnswer = () ->
                ticker.advanceMs(TIMES.pollWait().plus(TIMES.answerTimeout()).toMillis());
        step(1);
        store.beforeAnswer = () -> {};
        step(1);

        assertThat(events).containsExactly("+a", "-a").inOrder();
    }

    @Test
    void readAfterOneWithoutAnAnswerIsSentAtOnceAndDoesNotWait() throws Exception {
        store.reads.add(rows(5));
        store.changes.add(Optional.empty());
        store.changes.add(rows(5));
        store.changes.add(rows(5));
        step(1);

        assertThat(watcher.step()).isEqualTo(0);
        step(2);

        Duration wait = TIMES.pollWait();
        assertThat(store.waits).containsExactly(wait, Duration.ZERO, wait).inOrder();
    }

    @Test
    void readAfterOneThatTimedOutIsGivenMoreTimeUntilAnswersAreQuickAgain() {
        store.reads.add(rows(5));
        store.changes.add(Optional.empty());
        store.changes.add(rows(5));
        store.changes.add(rows(5));
        step(1);
        Duration timeout = TIMES.answerTimeout();
        store.beforeAnswer =
                () -> ticker.advanceMs(TIMES.pollWait().plus(timeout).toMillis());
        step(1);
        store.beforeAnswer = () -> {};
        step(2);

        assertThat(store.answerTimeouts)
                .containsExactly(timeout, timeout.multipliedBy(2), timeout)
                .inOrder();
    }

    @Test
    void readsOfAStoreThatStaysAwayAreSpaced() throws Exception {
        store.reads.add(rows(5));
        store.changes.add(Optional.empty());
        store.changes.add(Optional.empty());
        step(2);

        assertThat(watcher.step()).isGreaterThan(0);
    }

    @Test
    void readOfAnOlderVersionIsRejected() {
        store.reads.add(rows(5, row("a", 1)));
        store.reads.add(rows(4));
        store.reads.add(rows(6, row("a", 1)));
        step(1);
        store.historyLost = true;
        step(3);

        assertThat(events).containsExactly("+a", "+a");
    }

    private static EndpointRow row(long born, long sequence, boolean leaving) {
        return new EndpointRow.Description("s", "10.0.0.1:80", "z", 3, leaving, Duration.ZERO, born, sequence);
    }

    @Test
    void olderDescriptionsAreIgnored() {
        registry.update("e", row(100, 5, true));

        assertThat(registry.update("e", row(100, 4, false))).isFalse();
        assertThat(registry.update("e", row(99, 9, false))).isFalse();
        assertThat(registry.instances().get(0).leaving()).isTrue();
    }

    @Test
    void restartUnderTheSameNameIsAnotherInstance() {
        registry.update("e", row(100, 5, true));
        registry.update("e", row(200, 1, false));

        Instance now = registry.instances().get(0);
        assertThat(now.leaving()).isFalse();
        assertThat(now.id()).isEqualTo("e~200");
        assertThat(now.region()).isEqualTo("r");
    }

    @Test
    void unreadableDescriptionIsIgnored() {
        registry.update("e", row(100, 5, false));

        assertThat(registry.update("e", new EndpointRow.Unreadable("no address")))
                .isFalse();
        assertThat(registry.update("f", new EndpointRow.Unreadable("no address")))
                .isFalse();
        assertThat(registry.names()).containsExactly("e");
    }

    @Test
    void endpointMissingAfterTheStoreReturnedIsRemovedAfterTwoSeconds() {
        registry.update("e", row(100, 5, false));
        registry.update("f", row(100, 5, false));
        registry.remove("e", true);
        registry.remove("f", true);
        ticker.advanceMs(1_500);
        registry.update("f", row(100, 6, false));

        assertThat(registry.expire()).isFalse();
        ticker.advanceMs(600);
        assertThat(registry.expire()).isTrue();
        assertThat(registry.names()).containsExactly("f");
    }

    @Test
    void removalWithoutAnOutageIsImmediate() {
        registry.update("e", row(100, 5, false));

        assertThat(registry.remove("e", false)).isTrue();
        assertThat(registry.instances()).isEmpty();
    }

    @Test
    void removedEndpointIsNotListedAgainByAnOldCopyOfItsRow() {
        registry.update("e", row(100, 5, false));
        registry.remove("e", false);

        assertThat(registry.update("e", row(100, 4, false))).isFalse();
        assertThat(registry.update("e", row(100, 5, false))).isFalse();
        assertThat(registry.instances()).isEmpty();
        assertThat(registry.update("e", row(100, 6, false))).isTrue();
        registry.remove("e", false);
        assertThat(registry.update("e", row(101, 1, false))).isTrue();
    }
}
