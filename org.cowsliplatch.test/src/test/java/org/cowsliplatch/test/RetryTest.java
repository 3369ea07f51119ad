package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.RetryBudget;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.steer.Headroom;
import org.junit.jupiter.api.Test;

/** Repeats stay within a tenth of the load, and end under overload. */
final class RetryTest {
    @Test
    void repeatsAreATenthOfTheFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        while (budget.tryWithdraw()) {
            // Uses up what an idle pool has in hand.
        }
        int repeats = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.deposit();
            if (budget.tryWithdraw()) {
                repeats++;
            }
        }

        assertThat(repeats).isAtMost(1_000);
        assertThat(repeats).isAtLeast(990);
    }

    @Test
    void fewAreInHandAfterALongCalm() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 10_000; i++) {
            budget.deposit();
        }
        int repeats = 0;
        while (budget.tryWithdraw()) {
            repeats++;
        }

        assertThat(repeats).isEqualTo(10);
    }

    @Test
    void groupIsOverloadedWhileMoreWaitThanItsSlots() {
        ManualTicker ticker = new ManualTicker();
        Headroom headroom = new Headroom(ticker, Headroom.CAUTIOUS);
        GroupId group = new GroupId("p", "r");
        headroom.report(group, new GroupLoad(36, 0, 36, 40), 12);
        assertThat(headroom.isOverloaded(group)).isTrue();
        headroom.report(group, new GroupLoad(36, 0, 36, 4), 12);
        assertThat(headroom.isOverloaded(group)).isFalse();

        headroom.report(group, new GroupLoad(36, 0, 36, 40), 12);
        ticker.advanceMs(10_000);
        assertThat(headroom.isOverloaded(group)).isFalse();
    }

    /** All entry instances together stay within the users' bound, however few requests there are. */
    @Test
    void partsOfTheSystemsBudgetAddUpToLessThanIt() {
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
