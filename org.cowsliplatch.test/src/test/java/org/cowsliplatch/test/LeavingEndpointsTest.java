package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.steer.LeavingEndpoints.Source;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.platform.Instance;
import org.junit.jupiter.api.Test;

/** Guards the marks of leaving endpoints against later descriptions, and their number against growth. */
final class LeavingEndpointsTest {
    private final ManualTicker ticker = new ManualTicker();
    private final LeavingEndpoints leaving = new LeavingEndpoints(ticker, LeavingEndpoints.NO_LISTENER);
    private final SteeringViewHolder views = new SteeringViewHolder(view -> {}, leaving);

    private static Instance instance(String id, boolean isLeaving) {
        return new Instance("s", id, "10.0.0.1:80", "r", "z", isLeaving);
    }

    private void list(Instance... instances) {
        views.updateEndpoints(new EndpointDirectory(List.of(instances)));
    }

    private boolean isUsable(String id) {
        return !views.current().endpoints().isLeavingOrGone(id)
                && views.current().endpoints().instances().stream()
                        .anyMatch(instance -> instance.id().equals(id) && !instance.leaving());
    }

    @Test
    void laterDescriptionDoesNotEndTheLeavingOfAnIncarnation() {
        list(instance("a~1", true), instance("b~1", false));
        leaving.mark("b~1", Source.RESPONSE, "self");
        views.applyLeaving();
        list(instance("a~1", false), instance("b~1", false));

        assertThat(isUsable("a~1")).isFalse();
        assertThat(isUsable("b~1")).isFalse();
        assertThat(views.current().endpoints().regions("s")).isEmpty();

        list(instance("a~2", false), instance("b~1", false));
        assertThat(isUsable("a~2")).isTrue();
    }

    @Test
    void endpointThatIsMarkedBeforeItIsListedIsLeaving() {
        leaving.mark("a~1", Source.PEER, "other");
        list(instance("a~1", false));

        assertThat(isUsable("a~1")).isFalse();
    }

    @Test
    void marksOfUnlistedEndpointsAreBounded() {
        leaving.mark("listed~1", Source.RESPONSE, "self");
        for (int i = 0; i < 5_000; i++) {
            leaving.mark("gone-" + i + "~1", Source.PEER, "other");
        }
        list(instance("listed~1", false));

        assertThat(leaving.ids()).hasSize(1_025);
        assertThat(leaving.contains("listed~1")).isTrue();
        assertThat(leaving.contains("gone-4999~1")).isTrue();
        assertThat(leaving.contains("gone-0~1")).isFalse();
    }

    @Test
    void onlyOwnRecentResponsesAreTold() {
        leaving.mark("old~1", Source.RESPONSE, "self");
        ticker.advanceMs(1_000);
        long since = ticker.nanos();
        leaving.mark("peer~1", Source.PEER, "other");
        leaving.mark("a~1", Source.RESPONSE, "self");
        leaving.mark("b~1", Source.RESPONSE, "self");

        assertThat(leaving.announcedSince(since, 10))
                .containsExactly("a~1", "b~1")
                .inOrder();
        assertThat(leaving.announcedSince(since, 1)).containsExactly("b~1");
    }
}
