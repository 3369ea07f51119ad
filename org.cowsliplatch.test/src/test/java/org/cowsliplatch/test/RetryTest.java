package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.RetryBudget;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.steer.Headroom;
import org.junit.jupiter.api.Test;

/** Checks that retries stay within a tenth of the load by default, and that overload of a group is detected. */
final class RetryTest {
    @Test
    void retriesAreLimitedToATenthOfFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        while (budget.tryWithdraw()) {
            // Empties the initial budget.
        }
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.deposit();
            if (budget.tryWithdraw()) {
                retries++;
            }
        }

        assertThat(retries).isAtMost(1_000);
        assertThat(retries).isAtLeast(990);
    }

    @Test
    void budgetIsCappedAfterManyRequestsWithoutRetry() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 10_000; i++) {
            budget.deposit();
        }
        int retries = 0;
        while (budget.tryWithdraw()) {
            retries++;
        }

        assertThat(retries).isEqualTo(10);
    }

    @Test
    void groupIsOverloadedWhileMoreRequestsWaitThanItHasSlots() {
        ManualTicker ticker = new ManualTicker();
        Headroom headroom = new Headroom(ticker, Headroom.CONSERVATIVE_REQUESTS_PER_FREE_SLOT);
        GroupId group = new GroupId("p", "r");
        headroom.report(group, new GroupLoad(36, 0, 36, 40), 12);
        assertThat(headroom.isOverloaded(group)).isTrue();
        headroom.report(group, new GroupLoad(36, 0, 36, 4), 12);
        assertThat(headroom.isOverloaded(group)).isFalse();

        headroom.report(group, new GroupLoad(36, 0, 36, 40), 12);
        ticker.advanceMs(10_000);
        assertThat(headroom.isOverloaded(group)).isFalse();
    }

    /** The retries of all entry instances together stay within the configured bound, even with few requests. */
    @Test
    void budgetsOfAllInstancesAddUpToAtMostTheSystemBound() {
        int instances = 69;
        double slack = 178;
        double perRequest = 0.2;
        int requestsEach = 20;
        int spent = 0;
        for (int i = 0; i < instances; i++) {
            RetryBudget budget = new RetryBudgets(perRequest, slack, () -> instances).of("p");
            while (budget.tryWithdraw()) {
                spent++;
            }
            for (int request = 0; request < requestsEach; request++) {
                budget.deposit();
                while (budget.tryWithdraw()) {
                    spent++;
                }
            }
        }

        assertThat((double) spent).isAtMost(perRequest * instances * requestsEach + slack);
        assertThat(spent).isAtLeast(instances);
    }
}
