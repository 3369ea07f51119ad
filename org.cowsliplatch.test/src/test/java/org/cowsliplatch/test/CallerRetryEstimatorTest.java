package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.cowsliplatch.internal.limit.CallerRetryEstimator;
import org.junit.jupiter.api.Test;

/** Callers whose time limits differ by a fifth, of whom some come back after a refusal. */
final class CallerRetryEstimatorTest {
    private static final long LONGEST_MS = 3_000;

    private final SplittableRandom random = new SplittableRandom(5);
    private final CallerRetryEstimator returning = new CallerRetryEstimator(random::nextDouble);

    private long newLimit() {
        return (long) (LONGEST_MS * (0.8 + 0.2 * random.nextDouble()));
    }

    private void learn() {
        for (int i = 0; i < 200; i++) {
            returning.sinceFirst("r", newLimit());
        }
    }

    @Test
    void newCallersAreNotTakenForReturningOnes() {
        learn();
        for (int i = 0; i < 10_000; i++) {
            assertThat(returning.sinceFirst("r", newLimit())).isEqualTo(Duration.ZERO);
        }
    }

    @Test
    void returningCallersAreKnownByTheTimeTheyHaveLeft() {
        learn();
        for (int i = 0; i < 10_000; i++) {
            long limit = newLimit();
            returning.sinceFirst("r", limit);
            long delay = returning.delay("r", limit).toMillis();

            assertThat(delay).isAtMost(limit / 3);
            // On average a caller had 90 % of the longest limit, so an estimate is off by a tenth of it at most.
            long since = returning.sinceFirst("r", limit - delay).toMillis();
            assertThat((double) since).isWithin(LONGEST_MS * 0.11).of((double) delay);
            assertThat(since).isGreaterThan(0);
        }
    }

    @Test
    void oddLimitIsForgotten() {
        learn();
        returning.sinceFirst("r", 60_000);
        for (int i = 0; i < 3_000; i++) {
            returning.sinceFirst("r", newLimit());
        }

        assertThat(returning.sinceFirst("r", newLimit())).isEqualTo(Duration.ZERO);
    }

    @Test
    void callersWithoutLimitCountAsNew() {
        assertThat(returning.sinceFirst("r", -1)).isEqualTo(Duration.ZERO);
        assertThat(returning.delay("r", -1)).isEqualTo(Duration.ofSeconds(1));
    }
}
