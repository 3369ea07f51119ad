package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.cowsliplatch.internal.follow.AnswerTimeout;
import org.cowsliplatch.internal.follow.ReadTimes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reads of the store that outlive the bounds of a deployment. */
final class ReadTimesTest {
    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_500, 4_000, 10_000})
    void readThatGetsNoAnswerLeavesTimeForAnother(long boundMs) {
        Duration bound = Duration.ofMillis(boundMs);
        ReadTimes times = ReadTimes.within(bound);
        Duration lostRead = times.pollWait().plus(times.answerTimeout());

        assertThat(lostRead.plus(times.answerTimeout())).isLessThan(bound);
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_500, 4_000, 10_000})
    void followerWhoseReadersFallSilentHasTimeToReadTheStoreItself(long boundMs) {
        Duration bound = Duration.ofMillis(boundMs);
        ReadTimes times = ReadTimes.within(bound);

        assertThat(times.relayTimeout()).isGreaterThan(times.pollWait());
        assertThat(times.relayTimeout().plus(times.answerTimeout())).isLessThan(bound);
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_500, 4_000, 10_000})
    void outageInWhichRowsExpireIsNotTakenForALostRead(long boundMs) {
        assertThat(ReadTimes.within(Duration.ofMillis(boundMs)).minOutage()).isAtMost(Duration.ofSeconds(3));
    }

    @Test
    void timesMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> ReadTimes.within(Duration.ZERO));
    }

    @Test
    void timeoutGrowsWhileAnswersAreLateAndShrinksWithThem() {
        AnswerTimeout timeout = new AnswerTimeout(Duration.ofMillis(400));

        timeout.expired();
        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(800));
        timeout.expired();
        assertThat(timeout.current()).isEqualTo(Duration.ofSeconds(1));
        timeout.answeredAfter(Duration.ofMillis(300));
        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(600));
        timeout.answeredAfter(Duration.ofMillis(4));
        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(400));
    }
}
