package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Ask;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotEvent;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Decisions of a grantor on an injected clock. */
final class SlotGrantorTest {
    private static final int SLOTS = 3;
    private static final int QUEUE_LIMIT = 10;

    private final ManualTicker ticker = new ManualTicker();
    private final SlotGrantor grantor = new SlotGrantor(
            new Pool("p", "s", SLOTS, new TreeMap<>(), Duration.ofSeconds(10), QUEUE_LIMIT),
            ticker,
            new SplittableRandom(7));
    private long nextId;

    private static Endpoint endpoint(int number) {
        return new Endpoint("e" + number, "10.0.0." + number + ":80", "r", number % 2 == 0 ? "b" : "a");
    }

    private static List<ListedEndpoint> endpoints(int count) {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            endpoints.add(ListedEndpoint.usual(endpoint(i)));
        }
        return endpoints;
    }

    private List<SlotEvent> ask(Rank rank) {
        return ask("holder", rank, 1_000);
    }

    private List<SlotEvent> ask(String holder, Rank rank, long budgetMs) {
        long now = ticker.nanos();
        return grantor.ask(new Ask(holder, nextId++, "a", now, Ask.Want.of(rank, now + budgetMs * 1_000_000)));
    }

    private static List<SlotEvent.Granted> granted(List<SlotEvent> events) {
        return events.stream()
                .filter(SlotEvent.Granted.class::isInstance)
                .map(SlotEvent.Granted.class::cast)
                .toList();
    }

    private SlotEvent.Granted one(Rank rank) {
        return granted(ask(rank)).get(0);
    }

    private List<SlotEvent> release(SlotEvent.Granted grant, SlotOutcome outcome) {
        return grantor.release(grant.ask().holder(), grant.ask().id(), outcome);
    }

    @Test
    void grantsNoMoreThanTheSlots() {
        grantor.endpoints(endpoints(2));
        int count = 0;
        for (int i = 0; i < 9; i++) {
            count += granted(ask(Rank.LOOKUP)).size();
        }

        assertThat(count).isEqualTo(2 * SLOTS);
        assertThat(grantor.mostOutstanding()).isEqualTo(SLOTS);
        assertThat(grantor.load().waiting()).isEqualTo(3);
    }

    @Test
    void servesUrgentFirstThenOldest() {
        grantor.endpoints(endpoints(1));
        List<SlotEvent.Granted> held = List.of(one(Rank.LOOKUP), one(Rank.LOOKUP), one(Rank.LOOKUP));
        ask(Rank.LOOKUP);
        ask(Rank.URGENT);
        ask(Rank.URGENT);

        List<SlotEvent.Granted> next = granted(release(held.get(0), SlotOutcome.ANSWERED));

        assertThat(next).hasSize(1);
        assertThat(next.get(0).ask().id()).isEqualTo(4);
    }

    @Test
    void fullQueueDropsTheNewestOfTheLeastUrgent() {
        grantor.endpoints(endpoints(1));
        for (int i = 0; i < SLOTS + QUEUE_LIMIT; i++) {
            ask(Rank.UPLOAD);
        }

        List<SlotEvent> events = ask(Rank.URGENT);

        assertThat(events).hasSize(1);
        assertThat(((SlotEvent.Refused) events.get(0)).why()).isEqualTo(Refusal.QUEUE_FULL);
        assertThat(events.get(0).ask().rank()).isEqualTo(Rank.UPLOAD);
        assertThat(ask(Rank.UPLOAD).get(0)).isInstanceOf(SlotEvent.Refused.class);
    }

    @Test
    void refusesWhatWaitedForHalfOfItsTime() {
        grantor.endpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            ask(Rank.URGENT);
        }
        ask("holder", Rank.URGENT, 100);
        ticker.advanceMs(49);
        assertThat(grantor.tick()).isEmpty();
        ticker.advanceMs(2);

        List<SlotEvent> events = grantor.tick();

        assertThat(((SlotEvent.Refused) events.get(0)).why()).isEqualTo(Refusal.TOO_LATE);
    }

    @Test
    void leavingEndpointGetsNothingNewForItsIncarnation() {
        grantor.endpoints(List.of(ListedEndpoint.leaving(endpoint(1)), ListedEndpoint.usual(endpoint(2))));
        for (int i = 0; i < SLOTS; i++) {
            assertThat(one(Rank.LOOKUP).endpoint().id()).isEqualTo("e2");
        }
        // A lagging list no longer shows the mark; it stays.
        grantor.endpoints(endpoints(2));

        assertThat(granted(ask(Rank.LOOKUP))).isEmpty();
    }

    @Test
    void coldEndpointIsRamped() {
        grantor.endpoints(endpoints(1));
        grantor.endpoints(endpoints(2));
        Map<String, Integer> taken = new HashMap<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            granted(ask(Rank.LOOKUP))
                    .forEach(grant -> taken.merge(grant.endpoint().id(), 1, Integer::sum));
        }
        assertThat(taken).containsExactly("e1", 3, "e2", 1);

        ticker.advanceMs(10_001);
        List<SlotEvent.Granted> later = granted(grantor.tick());
        assertThat(later.size() + granted(ask(Rank.LOOKUP)).size()).isAtLeast(1);
        assertThat(grantor.load().slots()).isEqualTo(2 * SLOTS);
    }

    @Test
    void badEndpointIsKeptOutButNeverMoreThanAThird() {
        grantor.endpoints(endpoints(6));
        for (int i = 0; i < 60; i++) {
            release(one(Rank.LOOKUP), SlotOutcome.UNREACHABLE);
        }

        assertThat(grantor.load().slots()).isAtLeast(4 * SLOTS);
        assertThat(granted(ask(Rank.LOOKUP))).hasSize(1);
    }

    @Test
    void endpointWhereNothingListensIsKeptOutWhateverTheOthersDo() {
        grantor.endpoints(endpoints(6));
        for (int i = 0; i < 5; i++) {
            release(one(Rank.LOOKUP), SlotOutcome.REFUSED);
        }

        assertThat(grantor.load().slots()).isEqualTo(SLOTS);
        assertThat(granted(ask(Rank.LOOKUP))).hasSize(1);

        // After a while each is tried again.
        ticker.advanceMs(1_100);
        grantor.tick();
        assertThat(grantor.load().slots()).isEqualTo(6 * SLOTS);
    }

    @Test
    void requestDoesNotWaitForAnEndpointWhereNothingListens() {
        grantor.endpoints(endpoints(2));
        SlotEvent.Granted first = granted(askAbout("o")).get(0);
        release(first, SlotOutcome.REFUSED);

        SlotEvent.Granted second = granted(askAbout("o")).get(0);

        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
    }

    private List<SlotEvent> askAbout(String object) {
        long now = ticker.nanos();
        Ask.Want want = new Ask.Want(Rank.LOOKUP, now + 400_000_000, now + 1_200_000_000, List.of(), object);
        return grantor.ask(new Ask("holder", nextId++, "a", now, want));
    }

    @Test
    void silentConnectionBlamesNoEndpoint() {
        grantor.endpoints(endpoints(6));
        for (int i = 0; i < 10; i++) {
            release(one(Rank.LOOKUP), SlotOutcome.SILENT_CONNECTION);
            ticker.advanceMs(1_100);
            grantor.tick();
        }

        assertThat(grantor.load().slots()).isEqualTo(6 * SLOTS);
    }

    @Test
    void slotOfAGivenUpRequestStaysOccupiedForAWhile() {
        grantor.endpoints(endpoints(1));
        List<SlotEvent.Granted> held = List.of(one(Rank.LOOKUP), one(Rank.LOOKUP), one(Rank.LOOKUP));
        release(held.get(0), SlotOutcome.TIMED_OUT);
        assertThat(granted(ask("holder", Rank.LOOKUP, 10_000))).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void slotsOfADeadHolderComeFree() {
        grantor.endpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            ask("dead", Rank.LOOKUP, 10_000);
        }
        ask("alive", Rank.LOOKUP, 10_000);
        grantor.holderGone("dead");
        assertThat(granted(grantor.tick())).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void newGrantorCountsWhatWasGrantedBefore() {
        grantor.learn();
        grantor.endpoints(endpoints(1));
        assertThat(granted(ask(Rank.URGENT))).isEmpty();
        grantor.adopt("other", 100, "e1", Rank.LOOKUP);
        grantor.adopt("other", 101, "e1", Rank.LOOKUP);

        assertThat(granted(grantor.learned())).hasSize(1);
        assertThat(granted(ask(Rank.URGENT))).isEmpty();
        assertThat(granted(grantor.release("other", 100, SlotOutcome.ANSWERED))).hasSize(1);
        assertThat(grantor.mostOutstanding()).isEqualTo(SLOTS);
    }

    @Test
    void emptyPoolIsToldAtOnce() {
        assertThat(((SlotEvent.Refused) ask(Rank.URGENT).get(0)).why()).isEqualTo(Refusal.NO_ENDPOINT);
    }

    /** Asks about an object, with moments from now on; a due time below 0 is past. */
    private List<SlotEvent> askAbout(String object, long dueMs, long deadlineMs) {
        long now = ticker.nanos();
        Ask.Want want =
                new Ask.Want(Rank.URGENT, now + dueMs * 1_000_000, now + deadlineMs * 1_000_000, List.of(), object);
        return grantor.ask(new Ask("holder", nextId++, "a", now, want));
    }

    /** Lets enough runs about new objects end for their mean time to be known. */
    private void learnThatColdRunsTake(long ms) {
        for (int i = 0; i < 10; i++) {
            SlotEvent.Granted grant =
                    granted(askAbout("cold" + i, 5_000, 6_000)).get(0);
            ticker.advanceMs(ms);
            release(grant, SlotOutcome.ANSWERED);
        }
    }

    @Test
    void lateRequestIsNotRunWhereItCanNotEnd() {
        grantor.endpoints(endpoints(2));
        learnThatColdRunsTake(600);

        assertThat(granted(askAbout("new", -100, 500))).isEmpty();
        assertThat(granted(askAbout("new", -100, 2_000))).hasSize(1);
    }

    @Test
    void lateRequestIsRefusedSoonIfNoSlotIsLeftOver() {
        grantor.endpoints(endpoints(1));
        learnThatColdRunsTake(600);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(askAbout("busy" + i, 5_000, 6_000))).hasSize(1);
        }
        assertThat(askAbout("late", -100, 2_000)).isEmpty();
        ticker.advanceMs(250);

        assertThat(grantor.tick().get(0)).isInstanceOf(SlotEvent.Refused.class);
    }

    @Test
    void askMadeOnceMoreWaitsOnce() {
        grantor.endpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            one(Rank.URGENT);
        }
        ask(Rank.URGENT);
        nextId--;
        ask(Rank.URGENT);
        assertThat(grantor.load().waiting()).isEqualTo(1);
        ticker.advanceMs(5_000);

        List<SlotEvent> events = Assertions.assertTimeoutPreemptively(
                Duration.ofSeconds(2), grantor::tick, "the ask is refused again and again");
        assertThat(events).hasSize(1);
        assertThat(grantor.load().waiting()).isEqualTo(0);
    }

    @Test
    void askMadeOnceMoreGivesBackTheSlotThatItsHolderNeverHeardOf() {
        grantor.endpoints(endpoints(1));
        one(Rank.URGENT);
        nextId--;
        one(Rank.URGENT);

        assertThat(grantor.load().free()).isEqualTo(SLOTS - 1);
    }
}
