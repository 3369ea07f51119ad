package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** What callers get of a pool whose endpoints are fast for objects that they remember, through changes of the pool. */
final class AffinitySimulationTest {
    /** One region of the users' look-ups at its peak: 10 endpoints, 32 objects, 67 requests a second. */
    private static AffinitySimulation peak() {
        return new AffinitySimulation(42, 10, 32, 67);
    }

    @Test
    void mostAreInTimeOnceObjectsAreKnown() {
        AffinitySimulation load = peak();
        load.play(6_000);

        assertThat(load.play(6_000).inTimeShare()).isAtLeast(0.95);
    }

    @Test
    void firstSecondsServeMostInTime() {
        assertThat(peak().play(4_000).inTimeShare()).isAtLeast(0.6);
    }

    @Test
    void newGrantorFindsTheObjectsWhereTheyAreRemembered() {
        AffinitySimulation load = peak();
        load.play(12_000);
        load.loseGrantor();

        assertThat(load.play(2_000).inTimeShare()).isAtLeast(0.8);
    }

    @Test
    void fewAreLateAfterAnEndpointLeft() {
        AffinitySimulation load = peak();
        load.play(12_000);
        load.loseEndpoint();

        assertThat(load.play(2_000).inTimeShare()).isAtLeast(0.8);
    }

    @Test
    void poolInWhichAllShedIsUsedInFull() {
        AffinitySimulation load = peak();
        load.play(12_000);
        load.shed(0.5);

        // Half of the grants are shed at once; of the rest, nearly all run where their object is remembered.
        assertThat(load.play(8_000).inTimeShare()).isAtLeast(0.45);
    }

    /** A third more than 10 endpoints can serve, all of them warm. */
    private static AffinitySimulation overload() {
        AffinitySimulation load = new AffinitySimulation(42, 10, 32, 67);
        load.play(12_000);
        load.rate(210);
        return load;
    }

    @Test
    void callersThatComeBackTakeNothingFromThoseInTime() {
        AffinitySimulation load = overload();
        AffinitySimulation forgetful = overload();
        forgetful.forgetReturns();

        AffinitySimulation.Result result = load.play(8_000);
        assertThat(result.inTimeShare()).isAtLeast(0.6);
        assertThat(result.inTimeShare()).isGreaterThan(forgetful.play(8_000).inTimeShare() + 0.1);
    }

    @Test
    void callersThatComeBackAreServedOnceThereIsRoom() {
        AffinitySimulation load = overload();
        load.play(1_000);
        load.rate(67);

        // All of those that were refused in the last part of the rush come back now.
        AffinitySimulation.Result after = load.play(2_000);
        assertThat(after.inTimeShare()).isAtLeast(0.9);
        assertThat(after.servedShare()).isAtLeast(1.1);
    }
}
