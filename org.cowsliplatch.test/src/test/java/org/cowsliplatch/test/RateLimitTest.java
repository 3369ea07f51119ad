package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.EndpointLimits;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.junit.jupiter.api.Test;

/** Tests that the sum of all entry instances keeps the rate limits of endpoints, on virtual time. */
final class RateLimitTest {
    private static final int ENDPOINTS = 6;
    private static final int SEEDS = Integer.getInteger("rateLimit.seeds", 12);
    private static final long FIRST_SEED = Long.getLong("rateLimit.firstSeed", 1);
    /** Requests per second to each instance, several times what the limits allow. */
    private static final double LOAD = 20;
    /** Time in ms after the first answer with a limit from which the limit must be kept. */
    private static final long CONTACT_MS = 3_000;

    private static int mostAllowed(double perSecond) {
        return (int) (1.5 * perSecond * 4 + 5);
    }

    private static RateLimitSimulation limited(long seed, int instances, double perSecond) throws Exception {
        RateLimitSimulation simulation = new RateLimitSimulation(seed, instances, ENDPOINTS);
        simulation.run(2_000, LOAD);
        for (int i = 0; i < ENDPOINTS; i++) {
            simulation.limit("e" + i, perSecond);
        }
        simulation.run(500 + CONTACT_MS, LOAD);
        return simulation;
    }

    private static void assertKept(RateLimitSimulation simulation, double perSecond, long fromMs, String run) {
        for (int i = 0; i < ENDPOINTS; i++) {
            assertWithMessage("requests to e%s, limit %s/s, %s", i, perSecond, run)
                    .that(simulation.mostInWindow("e" + i, fromMs))
                    .isAtMost(mostAllowed(perSecond));
        }
    }

    @Test
    void limitIsUsedButNotExceededWhileAllAgree() throws Exception {
        for (double perSecond : new double[] {0.5, 2, 2.7, 6}) {
            RateLimitSimulation simulation = limited(1, 4, perSecond);
            simulation.run(12_000, LOAD);

            assertKept(simulation, perSecond, 5_500, "no disturbance");
            int inTwelveSeconds = (int) simulation.arrivalsAt("e0").stream()
                    .filter(arrival -> arrival.atMs() >= 5_500)
                    .count();
            assertThat(inTwelveSeconds).isAtLeast((int) (perSecond * 12 * 0.8));
            assertThat(inTwelveSeconds).isAtMost((int) Math.ceil(perSecond * 12 + 2));
        }
    }

    @Test
    void limitIsKeptThroughRestartsFreezesAndCuts() throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double perSecond = new double[] {0.7, 1, 2.5, 4, 7.5}[random.nextInt(5)];
            int instances = random.nextBoolean() ? 4 : 12;
            RateLimitSimulation simulation = limited(seed, instances, perSecond);
            StringBuilder history = new StringBuilder("seed " + seed + ", " + instances + " instances:");
            for (int i = 0; i < 12; i++) {
                disturb(simulation, random, history);
            }
            simulation.run(5_000, LOAD);

            assertKept(simulation, perSecond, 5_500, history.toString());
        }
    }

    private static void disturb(RateLimitSimulation simulation, SplittableRandom random, StringBuilder history) {
        int index = random.nextInt(simulation.instances());
        int kind = random.nextInt(3);
        long millis = random.nextLong(200, 5_200);
        history.append(' ').append("rfc".charAt(kind)).append(index).append('/').append(millis);
        switch (kind) {
            case 0 -> simulation.restart(index);
            case 1 -> simulation.freeze(index, true);
            default -> simulation.cut(index, true);
        }
        simulation.run(millis, LOAD);
        simulation.freeze(index, false);
        simulation.cut(index, false);
        simulation.run(random.nextInt(1_500), LOAD);
    }

    @Test
    void raisedAndEndedLimitsTakeEffect() throws Exception {
        RateLimitSimulation simulation = limited(3, 4, 1);
        simulation.limit("e0", 5);
        simulation.limit("e1", -1);
        simulation.run(8_000, LOAD);

        assertThat(simulation.mostInWindow("e0", 7_500)).isAtLeast(16);
        assertThat(simulation.mostInWindow("e2", 7_500)).isAtMost(mostAllowed(1));
    }

    @Test
    void endpointWithZeroLimitIsAskedAgainUntilItsLimitEnds() throws Exception {
        RateLimitSimulation simulation = limited(4, 4, 0);
        simulation.run(12_000, LOAD);
        assertKept(simulation, 0, 5_500, "limit zero");

        for (int i = 0; i < ENDPOINTS; i++) {
            simulation.limit("e" + i, 20);
        }
        simulation.run(12_000, LOAD);
        assertThat(simulation.mostInWindow("e0", 17_500)).isAtLeast(20);
    }

    @Test
    void readsDecimalNumbersOnly() {
        assertThat(LimitNotice.parse(null)).isEqualTo(LimitNotice.ABSENT);
        assertThat(LimitNotice.parse(" 2.5 ")).isEqualTo(LimitNotice.named(2.5));
        assertThat(LimitNotice.parse("0")).isEqualTo(LimitNotice.named(0));
        assertThat(LimitNotice.parse("3.0000000000000000000000000000001")).isEqualTo(LimitNotice.named(3));
        for (String value : new String[] {"", "-1", "NaN", "Infinity", "1e3", "0x1p3", "5d", "2,5", "9".repeat(65)}) {
            assertWithMessage(value).that(LimitNotice.parse(value)).isEqualTo(LimitNotice.UNKNOWN);
        }
    }

    @Test
    void overtakenResponseLowersButNeitherRaisesNorEndsLimit() {
        ManualTicker ticker = new ManualTicker();
        EndpointLimits limits = new EndpointLimits(ticker, EndpointLimits.NO_LISTENER);
        long sentEarly = ticker.nanos();
        ticker.advanceMs(100);
        limits.observe("e", LimitNotice.named(3), ticker.nanos(), "a");
        ticker.advanceMs(100);

        assertThat(limits.observe("e", LimitNotice.ABSENT, sentEarly, "a")).isFalse();
        assertThat(limits.observe("e", LimitNotice.named(9), sentEarly, "a")).isFalse();
        assertThat(limits.observe("e", LimitNotice.UNKNOWN, ticker.nanos(), "a"))
                .isFalse();
        assertThat(limits.observe("e", LimitNotice.named(2), sentEarly, "a")).isTrue();
        ticker.advanceMs(100);
        assertThat(limits.observe("e", LimitNotice.ABSENT, ticker.nanos(), "a")).isTrue();
        assertThat(limits.of("e")).isNull();
    }

    @Test
    void refusedCallersReturnOneAfterAnotherAtTheRateOfThePool() {
        ManualTicker ticker = new ManualTicker();
        EndpointLimits limits = new EndpointLimits(ticker, EndpointLimits.NO_LISTENER);
        SlotGrantor grantor = new SlotGrantor(
                new Pool("p", "s", 3, new TreeMap<>(), Duration.ZERO, 100), ticker, new SplittableRandom(1), limits);
        limits.observe("e", LimitNotice.named(2), ticker.nanos(), "a");
        grantor.updateEndpoints(List.of(ListedEndpoint.active(new Endpoint("e", "10.0.0.1:80", "r", "z"))));
        grantor.setRateShare(0);
        assertThat(refuse(grantor, ticker, 0).roomInNanos()).isEqualTo(5_000_000_000L);

        grantor.setRateShare(1);
        for (int i = 1; i <= 3; i++) {
            RateBound bound = refuse(grantor, ticker, i);
            assertThat(bound.roomInNanos()).isEqualTo(i * 500_000_000L);
            assertThat(bound.perSecond()).isWithin(1e-6).of(2);
        }
    }

    private static RateBound refuse(SlotGrantor grantor, ManualTicker ticker, long id) {
        long now = ticker.nanos();
        SlotRequest request = new SlotRequest(
                "h", id, "z", now, new SlotRequest.Requirements(Rank.LOOKUP, now + 1, now + 2, List.of(), "o"));
        SlotDecision decision = grantor.request(request).get(0);
        return ((SlotDecision.Refused) decision).rateBound().orElseThrow();
    }
}
