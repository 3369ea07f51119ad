package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.cowsliplatch.internal.limit.CallerRetryEstimator;
import org.junit.jupiter.api.Test;

/** Tests the recognition of retries among callers whose time limits differ by a fifth. */
final class CallerRetryEstimatorTest {
    private static final long LONGEST_MS = 3_000;

    private final SplittableRandom random = new SplittableRandom(5);
    private final CallerRetryEstimator estimator = new CallerRetryEstimator(random::nextDouble);

    private long newLimitMs() {
        return (long) (LONGEST_MS * (0.8 + 0.2 * random.nextDouble()));
    }

    private void addSamples() {
        for (int i = 0; i < 200; i++) {
            estimator.sinceFirst("r", newLimitMs());
        }
    }

    @Test
    void firstAttemptsAreNotTakenForRetries() {
        addSamples();
        for (int i = 0; i < 10_000; i++) {
            assertThat(estimator.sinceFirst("r", newLimitMs())).isEqualTo(Duration.ZERO);
        }
    }

    @Test
    void retriesAreRecognizedByTheirRemainingTime() {
        addSamples();
        for (int i = 0; i < 10_000; i++) {
            long limitMs = newLimitMs();
            estimator.sinceFirst("r", limitMs);
            long delayMs = estimator.delay("r", limitMs).toMillis();

            assertThat(delayMs).isAtMost(limitMs / 3);
            // The mean limit is 90 % of the longest, so an estimate is off by at most a tenth of the longest.
            long sinceFirstMs = estimator.sinceFirst("r", limitMs - delayMs).toMillis();
            assertThat((double) sinceFirstMs).isWithin(LONGEST_MS * 0.11).of((double) delayMs);
            assertThat(sinceFirstMs).isGreaterThan(0);
        }
    }

    @Test
    void outlierLimitExpires() {
        addSamples();
        estimator.sinceFirst("r", 60_000);
        for (int i = 0; i < 3_000; i++) {
            estimator.sinceFirst("r", newLimitMs());
        }

        assertThat(estimator.sinceFirst("r", newLimitMs())).isEqualTo(Duration.ZERO);
    }

    @Test
    void callersWithoutLimitCountAsFirstAttempts() {
        assertThat(estimator.sinceFirst("r", -1)).isEqualTo(Duration.ZERO);
        assertThat(estimator.delay("r", -1)).isEqualTo(Duration.ofSeconds(1));
    }
}
