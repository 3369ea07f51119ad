package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.standin.BackendServer;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that reaches its time limit and breaks off requests which it had accepted meanwhile. */
final class PlannedStopTest {
    /** Longer than the longest planned stop of {@link TestSystem#settings}. */
    private static final String TIMEOUT = "20s";

    private TestSystem system;
    private BackendServer booking;
    private final List<EntryInstance> entries = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        system = new TestSystem();
        booking = system.backend("booking", 1);
        entries.add(system.entry("entry-1"));
        entries.add(system.entry("entry-2"));
        system.applyUsual(TIMEOUT);
        entries.forEach(system::awaitBookings);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void requestThatMightOutliveTheStopIsRefusedAtOnce() {
        int before = booking.runs();
        var unused = entries.get(0).drain();

        ContentResponse response = TestSystem.send(system.request(entries.get(0), "POST", "/bookings"));

        assertThat(response.getStatus()).isEqualTo(503);
        assertThat(TestSystem.outcome(response)).isEqualTo("not-run");
        assertThat(response.getHeaders().get("Retry-After")).isNull();
        assertThat(booking.runs()).isEqualTo(before);
    }

    @Test
    void keyRefusedDuringTheStopIsNeverRun() throws Exception {
        EntryLookup.Entry owner = system.caller().lookUp("booking").entries().stream()
                .filter(entry -> entry.name().equals("entry-1"))
                .findFirst()
                .orElseThrow();
        String key = CallerClient.newKey(owner);
        var stopped = entries.get(0).drain();
        ContentResponse refused = book(0, key);
        Await.until("entry-1 stopped", stopped::isDone);

        ContentResponse delayedCopy = book(1, key);

        assertThat(TestSystem.outcome(refused)).isEqualTo("not-run");
        assertThat(TestSystem.outcome(delayedCopy)).isEqualTo("not-run");
        assertThat(booking.runs(key)).isEqualTo(0);
    }

    private ContentResponse book(int entry, String key) {
        return TestSystem.send(system.request(entries.get(entry), "POST", "/bookings")
                .headers(headers -> headers.put("Idempotency-Key", key)));
    }
}
