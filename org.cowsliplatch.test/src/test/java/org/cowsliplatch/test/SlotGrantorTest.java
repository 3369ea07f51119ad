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

/** Tests the decisions of a grantor with a manual clock. */
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

    private List<SlotDecision> request(Rank rank) {
        return request("holder", rank, 1_000);
    }

    private List<SlotDecision> request(String holder, Rank rank, long budgetMs) {
        long now = ticker.nanos();
        return grantor.request(new SlotRequest(
                holder, nextId++, "a", now, SlotRequest.Requirements.of(rank, now + budgetMs * 1_000_000)));
    }

    private static List<SlotDecision.Granted> granted(List<SlotDecision> decisions) {
        return decisions.stream()
                .filter(SlotDecision.Granted.class::isInstance)
                .map(SlotDecision.Granted.class::cast)
                .toList();
    }

    private SlotDecision.Granted grantOne(Rank rank) {
        return granted(request(rank)).get(0);
    }

    private List<SlotDecision> release(SlotDecision.Granted grant, SlotOutcome outcome) {
        return grantor.release(grant.request().holder(), grant.request().id(), outcome);
    }

    @Test
    void grantsNoMoreThanTheSlots() {
        grantor.updateEndpoints(endpoints(2));
        int count = 0;
        for (int i = 0; i < 9; i++) {
            count += granted(request(Rank.LOOKUP)).size();
        }

        assertThat(count).isEqualTo(2 * SLOTS);
        assertThat(grantor.maxOutstandingPerEndpoint()).isEqualTo(SLOTS);
        assertThat(grantor.load().waiting()).isEqualTo(3);
    }

    @Test
    void grantsUrgentFirstThenOldest() {
        grantor.updateEndpoints(endpoints(1));
        List<SlotDecision.Granted> held = List.of(grantOne(Rank.LOOKUP), grantOne(Rank.LOOKUP), grantOne(Rank.LOOKUP));
        request(Rank.LOOKUP);
        request(Rank.URGENT);
        request(Rank.URGENT);

        List<SlotDecision.Granted> next = granted(release(held.get(0), SlotOutcome.ANSWERED));

        assertThat(next).hasSize(1);
        assertThat(next.get(0).request().id()).isEqualTo(4);
    }

    @Test
    void fullQueueRefusesTheNewestOfTheLeastUrgent() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS + QUEUE_LIMIT; i++) {
            request(Rank.UPLOAD);
        }

        List<SlotDecision> decisions = request(Rank.URGENT);

        assertThat(decisions).hasSize(1);
        assertThat(((SlotDecision.Refused) decisions.get(0)).why()).isEqualTo(Refusal.QUEUE_FULL);
        assertThat(decisions.get(0).request().rank()).isEqualTo(Rank.UPLOAD);
        assertThat(request(Rank.UPLOAD).get(0)).isInstanceOf(SlotDecision.Refused.class);
    }

    @Test
    void refusesRequestAfterHalfOfItsTimeBudget() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            request(Rank.URGENT);
        }
        request("holder", Rank.URGENT, 100);
        ticker.advanceMs(49);
        assertThat(grantor.tick()).isEmpty();
        ticker.advanceMs(2);

        List<SlotDecision> decisions = grantor.tick();

        assertThat(((SlotDecision.Refused) decisions.get(0)).why()).isEqualTo(Refusal.TOO_LATE);
    }

    @Test
    void leavingEndpointGetsNoNewRequestsForItsIncarnation() {
        grantor.updateEndpoints(List.of(ListedEndpoint.leaving(endpoint(1)), ListedEndpoint.active(endpoint(2))));
        for (int i = 0; i < SLOTS; i++) {
            assertThat(grantOne(Rank.LOOKUP).endpoint().id()).isEqualTo("e2");
        }
        // An outdated list without the leaving mark does not bring the endpoint back.
        grantor.updateEndpoints(endpoints(2));

        assertThat(granted(request(Rank.LOOKUP))).isEmpty();
    }

    @Test
    void newEndpointIsRampedUp() {
        grantor.updateEndpoints(endpoints(1));
        grantor.updateEndpoints(endpoints(2));
        Map<String, Integer> grantsByEndpoint = new HashMap<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            granted(request(Rank.LOOKUP))
                    .forEach(grant -> grantsByEndpoint.merge(grant.endpoint().id(), 1, Integer::sum));
        }
        assertThat(grantsByEndpoint).containsExactly("e1", 3, "e2", 1);

        ticker.advanceMs(10_001);
        List<SlotDecision.Granted> later = granted(grantor.tick());
        assertThat(later.size() + granted(request(Rank.LOOKUP)).size()).isAtLeast(1);
        assertThat(grantor.load().slots()).isEqualTo(2 * SLOTS);
    }

    @Test
    void failingEndpointsAreEjectedUpToAThird() {
        grantor.updateEndpoints(endpoints(6));
        for (int i = 0; i < 60; i++) {
            release(grantOne(Rank.LOOKUP), SlotOutcome.UNREACHABLE);
        }

        assertThat(grantor.load().slots()).isAtLeast(4 * SLOTS);
        assertThat(granted(request(Rank.LOOKUP))).hasSize(1);
    }

    @Test
    void endpointThatRefusesConnectionsIsEjectedRegardlessOfTheOthers() {
        grantor.updateEndpoints(endpoints(6));
        for (int i = 0; i < 5; i++) {
            release(grantOne(Rank.LOOKUP), SlotOutcome.REFUSED);
        }

        assertThat(grantor.load().slots()).isEqualTo(SLOTS);
        assertThat(granted(request(Rank.LOOKUP))).hasSize(1);

        // Each endpoint is tried again after its ejection.
        ticker.advanceMs(1_100);
        grantor.tick();
        assertThat(grantor.load().slots()).isEqualTo(6 * SLOTS);
    }

    @Test
    void requestDoesNotWaitForAnEndpointThatRefusesConnections() {
        grantor.updateEndpoints(endpoints(2));
        SlotDecision.Granted first = granted(requestObject("o")).get(0);
        release(first, SlotOutcome.REFUSED);

        SlotDecision.Granted second = granted(requestObject("o")).get(0);

        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
    }

    private List<SlotDecision> requestObject(String object) {
        long now = ticker.nanos();
        SlotRequest.Requirements requirements =
                new SlotRequest.Requirements(Rank.LOOKUP, now + 400_000_000, now + 1_200_000_000, List.of(), object);
        return grantor.request(new SlotRequest("holder", nextId++, "a", now, requirements));
    }

    @Test
    void silentConnectionDoesNotCountAgainstTheEndpoint() {
        grantor.updateEndpoints(endpoints(6));
        for (int i = 0; i < 10; i++) {
            release(grantOne(Rank.LOOKUP), SlotOutcome.SILENT_CONNECTION);
            ticker.advanceMs(1_100);
            grantor.tick();
        }

        assertThat(grantor.load().slots()).isEqualTo(6 * SLOTS);
    }

    @Test
    void slotOfATimedOutRequestStaysOccupiedForOneSecond() {
        grantor.updateEndpoints(endpoints(1));
        List<SlotDecision.Granted> held = List.of(grantOne(Rank.LOOKUP), grantOne(Rank.LOOKUP), grantOne(Rank.LOOKUP));
        release(held.get(0), SlotOutcome.TIMED_OUT);
        assertThat(granted(request("holder", Rank.LOOKUP, 10_000))).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void slotsOfAFailedHolderAreFreed() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            request("dead", Rank.LOOKUP, 10_000);
        }
        request("alive", Rank.LOOKUP, 10_000);
        grantor.removeHolder("dead");
        assertThat(granted(grantor.tick())).isEmpty();

        ticker.advanceMs(1_001);

        assertThat(granted(grantor.tick())).hasSize(1);
    }

    @Test
    void newGrantorCountsSlotsGrantedBefore() {
        grantor.beginRecovery();
        grantor.updateEndpoints(endpoints(1));
        assertThat(granted(request(Rank.URGENT))).isEmpty();
        grantor.adopt("other", 100, "e1", Rank.LOOKUP);
        grantor.adopt("other", 101, "e1", Rank.LOOKUP);

        assertThat(granted(grantor.endRecovery())).hasSize(1);
        assertThat(granted(request(Rank.URGENT))).isEmpty();
        assertThat(granted(grantor.release("other", 100, SlotOutcome.ANSWERED))).hasSize(1);
        assertThat(grantor.maxOutstandingPerEndpoint()).isEqualTo(SLOTS);
    }

    @Test
    void emptyPoolRefusesAtOnce() {
        assertThat(((SlotDecision.Refused) request(Rank.URGENT).get(0)).why()).isEqualTo(Refusal.NO_ENDPOINT);
    }

    /** Requests a slot for an object, with times in ms from now; a negative due time has passed. */
    private List<SlotDecision> requestObject(String object, long dueMs, long deadlineMs) {
        long now = ticker.nanos();
        SlotRequest.Requirements requirements = new SlotRequest.Requirements(
                Rank.URGENT, now + dueMs * 1_000_000, now + deadlineMs * 1_000_000, List.of(), object);
        return grantor.request(new SlotRequest("holder", nextId++, "a", now, requirements));
    }

    /** Completes enough runs for uncached objects for the grantor to know their mean service time. */
    private void recordColdRuns(long ms) {
        for (int i = 0; i < 10; i++) {
            SlotDecision.Granted grant =
                    granted(requestObject("cold" + i, 5_000, 6_000)).get(0);
            ticker.advanceMs(ms);
            release(grant, SlotOutcome.ANSWERED);
        }
    }

    @Test
    void overdueRequestIsNotGrantedIfItCanNotFinishByItsDeadline() {
        grantor.updateEndpoints(endpoints(2));
        recordColdRuns(600);

        assertThat(granted(requestObject("new", -100, 500))).isEmpty();
        assertThat(granted(requestObject("new", -100, 2_000))).hasSize(1);
    }

    @Test
    void overdueRequestIsRefusedSoonIfNoSlotIsSpare() {
        grantor.updateEndpoints(endpoints(1));
        recordColdRuns(600);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(requestObject("busy" + i, 5_000, 6_000))).hasSize(1);
        }
        assertThat(requestObject("late", -100, 2_000)).isEmpty();
        ticker.advanceMs(250);

        assertThat(grantor.tick().get(0)).isInstanceOf(SlotDecision.Refused.class);
    }

    @Test
    void repeatedRequestIsQueuedOnce() {
        grantor.updateEndpoints(endpoints(1));
        for (int i = 0; i < SLOTS; i++) {
            grantOne(Rank.URGENT);
        }
        request(Rank.URGENT);
        nextId--;
        request(Rank.URGENT);
        assertThat(grantor.load().waiting()).isEqualTo(1);
        ticker.advanceMs(5_000);

        List<SlotDecision> decisions = Assertions.assertTimeoutPreemptively(
                Duration.ofSeconds(2), grantor::tick, "the request is refused again and again");
        assertThat(decisions).hasSize(1);
        assertThat(grantor.load().waiting()).isEqualTo(0);
    }

    @Test
    void repeatedRequestReleasesTheSlotOfItsLostGrant() {
        grantor.updateEndpoints(endpoints(1));
        grantOne(Rank.URGENT);
        nextId--;
        grantOne(Rank.URGENT);

        assertThat(grantor.load().free()).isEqualTo(SLOTS - 1);
    }
}
