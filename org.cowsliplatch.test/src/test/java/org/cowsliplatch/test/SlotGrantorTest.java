package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
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
            endpoints.add(ListedEndpoint.active(endpoint(i)));
        }
        return endpoints;
    }

    private List<SlotDecision> ask(Rank rank) {
        return ask("holder", rank, 1_000);
    }

    private List<SlotDecision> ask(String holder, Rank rank, long budgetMs) {
        long now = ticker.nanos();
        return grantor.request(new SlotRequest(
                holder, nextId++, "a", now, SlotRequest.Requirements.of(rank, now + budgetMs * 1_000_000)));
    }

    private static List<SlotDecision.Granted> granted(List<SlotDecision> events) {
        return events.stream()
                .filter(SlotDecision.Granted.class::isInstance)
                .map(SlotDecision.Granted.class::cast)
                .toList();
    }

    private SlotDecision.Granted one(Rank rank) {
        return granted(ask(rank)).get(0);
    }

    private List<SlotDecision> release(SlotDecision.Granted grant, SlotOutcome outcome) {
        return grantor.release(grant.request().holder(), grant.request().id(), outcome);
    }

    @Test
    void grantsNoMoreThanTheSlots() {
        grantor.updateEndpoints(endpoints(2));
        int count = 0;
        for (int i = 0; i < 9; i++) {
            count += granted(ask(Rank.LOOKUP)).size();
        }

        assertThat(count).isEqualTo(2 * SLOTS);
        assertThat(grantor.maxOutstandingPerEndpoint()).isEqualTo(SLOTS);
        assertThat(grantor.load().waiting()).isEqualTo(3);
    }

    @Test
    void servesUrgentFirstThenOldest() {
        grantor.updateEndpoints(endpoints(1));
        List<SlotDecision.Granted> held = List.of(one(Rank.LOOKUP), one(Rank.LOOKUP), one(Rank.LOOKUP));
        ask(Rank.LOOKUP);
        ask(Rank.URGENT);
        ask(Rank.URGENT);

        List<SlotDecision.Granted> next = granted(release(held.get(0), SlotOutcome.ANSWERED));

        assertThat(next).hasSize(1);
        assertThat(next.get(0).request().id()).isEqualTo(4);
    }

    @Test
    void fullQueueDropsTheNewestOfTheLeastUrgent() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS + QUEUE_LIMIT; i++) {
            ask(Rank.UPLOAD);
        }

        List<SlotDecision> events = ask(Rank.URGENT);

        assertThat(events).hasSize(1);
        assertThat(((SlotDecision.Refused) events.get(0)).why()).isEqualTo(Refusal.QUEUE_FULL);
        assertThat(events.get(0).request().rank()).isEqualTo(Rank.UPLOAD);
        assertThat(ask(Rank.UPLOAD).get(0)).isInstanceOf(SlotDecision.Refused.class);
    }

    @Test
    void refusesWhatWaitedForHalfOfItsTime() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            ask(Rank.URGENT);
        }
        ask("holder", Rank.URGENT, 100);
        ticker.advanceMs(49);
        assertThat(grantor.tick()).isEmpty();
        ticker.advanceMs(2);

        List<SlotDecision> events = grantor.tick();

        assertThat(((SlotDecision.Refused) events.get(0)).why()).isEqualTo(Refusal.TOO_LATE);
    }

    @Test
    void leavingEndpointGetsNothingNewForItsIncarnation() {
        grantor.updateEndpoints(List.of(ListedEndpoint.leaving(endpoint(1)), ListedEndpoint.active(endpoint(2))));
        for (int i = 0; i < SLOTS; i++) {
            assertThat(one(Rank.LOOKUP).endpoint().id()).isEqualTo("e2");
        }
        // A lagging list no longer shows the mark; it stays.
        grantor.updateEndpoints(endpoints(2));

        assertThat(granted(ask(Rank.LOOKUP))).isEmpty();
    }

    @Test
    void coldEndpointIsRamped() {
        grantor.updateEndpoints(endpoints(1));
        grantor.updateEndpoints(endpoints(2));
        Map<String, Integer> taken = new HashMap<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            granted(ask(Rank.LOOKUP))
                    .forEach(grant -> taken.merge(grant.endpoint().id(), 1, Integer::sum));
        }
        assertThat(taken).containsExactly("e1", 3, "e2", 1);

        ticker.advanceMs(10_001);
        List<SlotDecision.Granted> later = granted(grantor.tick());
        assertThat(later.size() + granted(ask(Rank.LOOKUP)).size()).isAtLeast(1);
        assertThat(grantor.load().slots()).isEqualTo(2 * SLOTS);
    }

    @Test
    void badEndpointIsKeptOutButNeverMoreThanAThird() {
        grantor.updateEndpoints(endpoints(6));
        for (int i = 0; i < 60; i++) {
            release(one(Rank.LOOKUP), SlotOutcome.UNREACHABLE);
        }

        assertThat(grantor.load().slots()).isAtLeast(4 * SLOTS);
        assertThat(granted(ask(Rank.LOOKUP))).hasSize(1);
    }

    @Test
    void endpointWhereNothingListensIsKeptOutWhateverTheOthersDo() {
        grantor.updateEndpoints(endpoints(6));
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
        grantor.updateEndpoints(endpoints(2));
        SlotDecision.Granted first = granted(askAbout("o")).get(0);
        release(first, SlotOutcome.REFUSED);

        SlotDecision.Granted second = granted(askAbout("o")).get(0);

        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
    }

    private List<SlotDecision> askAbout(String object) {
        long now = ticker.nanos();
        SlotRequest.Requirements want =
                new SlotRequest.Requirements(Rank.LOOKUP, now + 400_000_000, now + 1_200_000_000, List.of(), object);
        return grantor.request(new SlotRequest("holder", nextId++, "a", now, want));
    }

    @Test
    void silentConnectionBlamesNoEndpoint() {
        grantor.updateEndpoints(endpoints(6));
        for (int i = 0; i < 10; i++) {
            release(one(Rank.LOOKUP), SlotOutcome.SILENT_CONNECTION);
            ticker.advanceMs(1_100);
            grantor.tick();
        }

        assertThat(grantor.load().slots()).isEqualTo(6 * SLOTS);
    }

    @Test
    void slotOfAGivenUpRequestStaysOccupiedForAWhile() {
        grantor.updateEndpoints(endpoints(1));
        List<SlotDecision.Granted> held = List.of(one(Rank.LOOKUP), one(Rank.LOOKUP), one(Rank.LOOKUP));
        release(held.get(0), SlotOutcome.TIMED_OUT);
        assertThat(granted(ask("holder", Rank.LOOKUP, 10_000))).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void slotsOfADeadHolderComeFree() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            ask("dead", Rank.LOOKUP, 10_000);
        }
        ask("alive", Rank.LOOKUP, 10_000);
        grantor.removeHolder("dead");
        assertThat(granted(grantor.tick())).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void newGrantorCountsWhatWasGrantedBefore() {
        grantor.beginRecovery();
        grantor.updateEndpoints(endpoints(1));
        assertThat(granted(ask(Rank.URGENT))).isEmpty();
        grantor.adopt("other", 100, "e1", Rank.LOOKUP);
        grantor.adopt("other", 101, "e1", Rank.LOOKUP);

        assertThat(granted(grantor.endRecovery())).hasSize(1);
        assertThat(granted(ask(Rank.URGENT))).isEmpty();
        assertThat(granted(grantor.release("other", 100, SlotOutcome.ANSWERED))).hasSize(1);
        assertThat(grantor.maxOutstandingPerEndpoint()).isEqualTo(SLOTS);
    }

    @Test
    void emptyPoolIsToldAtOnce() {
        assertThat(((SlotDecision.Refused) ask(Rank.URGENT).get(0)).why()).isEqualTo(Refusal.NO_ENDPOINT);
    }

    /** Asks about an object, with moments from now on; a due time below 0 is past. */
    private List<SlotDecision> askAbout(String object, long dueMs, long deadlineMs) {
        long now = ticker.nanos();
        SlotRequest.Requirements want = new SlotRequest.Requirements(
                Rank.URGENT, now + dueMs * 1_000_000, now + deadlineMs * 1_000_000, List.of(), object);
        return grantor.request(new SlotRequest("holder", nextId++, "a", now, want));
    }

    /** Lets enough runs about new objects end for their mean time to be known. */
    private void learnThatColdRunsTake(long ms) {
        for (int i = 0; i < 10; i++) {
            SlotDecision.Granted grant =
                    granted(askAbout("cold" + i, 5_000, 6_000)).get(0);
            ticker.advanceMs(ms);
            release(grant, SlotOutcome.ANSWERED);
        }
    }

    @Test
    void lateRequestIsNotRunWhereItCanNotEnd() {
        grantor.updateEndpoints(endpoints(2));
        learnThatColdRunsTake(600);

        assertThat(granted(askAbout("new", -100, 500))).isEmpty();
        assertThat(granted(askAbout("new", -100, 2_000))).hasSize(1);
    }

    @Test
    void lateRequestIsRefusedSoonIfNoSlotIsLeftOver() {
        grantor.updateEndpoints(endpoints(1));
        learnThatColdRunsTake(600);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(askAbout("busy" + i, 5_000, 6_000))).hasSize(1);
        }
        assertThat(askAbout("late", -100, 2_000)).isEmpty();
        ticker.advanceMs(250);

        assertThat(grantor.tick().get(0)).isInstanceOf(SlotDecision.Refused.class);
    }

    @Test
    void askMadeOnceMoreWaitsOnce() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            one(Rank.URGENT);
        }
        ask(Rank.URGENT);
        nextId--;
        ask(Rank.URGENT);
        assertThat(grantor.load().waiting()).isEqualTo(1);
        ticker.advanceMs(5_000);

        List<SlotDecision> events = Assertions.assertTimeoutPreemptively(
                Duration.ofSeconds(2), grantor::tick, "the ask is refused again and again");
        assertThat(events).hasSize(1);
        assertThat(grantor.load().waiting()).isEqualTo(0);
    }

    @Test
    void askMadeOnceMoreGivesBackTheSlotThatItsHolderNeverHeardOf() {
        grantor.updateEndpoints(endpoints(1));
        one(Rank.URGENT);
        nextId--;
        one(Rank.URGENT);

        assertThat(grantor.load().free()).isEqualTo(SLOTS - 1);
    }
}
