package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CyclicBarrier;
import org.cowsliplatch.internal.steer.EndpointPublisher;
import org.cowsliplatch.internal.steer.EndpointRegistry;
import org.cowsliplatch.internal.steer.SteeringViewHolder;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.platform.EndpointRow;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost updates when two threads publish endpoints and evacuations at the same time, as after a start:
 * one thread must not overwrite the other's newer state with an older one.
 */
final class EndpointPublisherTest {
    private static final int ROUNDS = 4_000;

    private final EndpointRegistry registry =
            new EndpointRegistry(Map.of("z", "r"), new ManualTicker(), DecisionLog.none());
    private final SteeringViewHolder views = new SteeringViewHolder(view -> {});
    private final EndpointPublisher publisher = new EndpointPublisher(registry, views);

    private void describe(int round) {
        boolean leaving = round % 2 == 0;
        registry.update(
                "e" + round % 8,
                new EndpointRow.Description("s", "10.0.0.1:80", "z", 3, leaving, Duration.ZERO, 1, round));
        publisher.publish();
    }

    @Test
    void concurrentUpdatesAreNotLost() throws Exception {
        CyclicBarrier start = new CyclicBarrier(2);
        for (int round = 0; round < ROUNDS; round++) {
            String zone = "zone" + round;
            int now = round;
            Thread endpoints = new Thread(() -> {
                try {
                    start.await();
                } catch (Exception e) {
                    throw new AssertionError("the other thread did not reach the barrier", e);
                }
                describe(now);
            });
            endpoints.start();
            start.await();
            publisher.evacuate(zone);
            endpoints.join();
            assertThat(views.current().endpoints().evacuatedZones()).contains(zone);
            publisher.endEvacuation(zone);
        }
    }
}
