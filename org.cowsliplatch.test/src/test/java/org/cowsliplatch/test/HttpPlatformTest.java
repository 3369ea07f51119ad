package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.platform.HttpPlatform;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.Measurements;
import org.cowsliplatch.platform.PlatformServices;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.standin.MemoryPlatform;
import org.cowsliplatch.standin.PlatformServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The platform's services over HTTP: content, conditions, outages, slow responses and lost responses. */
final class HttpPlatformTest {
    private final MemoryPlatform memory = MemoryPlatform.create();
    private PlatformServer server;
    private HttpPlatform http;
    private PlatformServices services;

    @BeforeEach
    void start() throws Exception {
        server = new PlatformServer(memory);
        http = HttpPlatform.start(settings(server.uri()));
        services = http.services();
    }

    @AfterEach
    void stop() throws Exception {
        http.close();
        server.close();
    }

    private static Settings.Platform settings(URI uri) {
        return new Settings.Platform(uri, uri, uri, uri, "cowsliplatch", Duration.ofMillis(500));
    }

    private static List<TableService.Write> write(String key, long expected) {
        return List.of(new TableService.Write(key, expected, "value of " + key));
    }

    @Test
    void rowsAreWrittenConditionallyAndReadBack() throws Exception {
        services.tables().write(write("a/1 ä&?", 0));
        services.tables().write(write("a/2", 0));

        assertThat(services.tables().read("a/1 ä&?").orElseThrow().value()).isEqualTo("value of a/1 ä&?");
        assertThat(services.tables().read("b")).isEmpty();
        assertThat(services.tables().scan("a/", "a/1", 10)).hasSize(2);
        RowChangedException changed =
                assertThrows(RowChangedException.class, () -> services.tables().write(write("a/2", 0)));
        assertThat(changed.found()).isEqualTo(1);
        assertThat(changed.key()).isEqualTo("a/2");
    }

    @Test
    void lostResponseIsDistinguishedFromAnOutage() throws Exception {
        memory.tables().faults().loseAnswers(1);
        assertThrows(WriteOutcomeUnknownException.class, () -> services.tables().write(write("k", 0)));
        assertThat(services.tables().read("k")).isPresent();

        memory.storeAway(true);
        assertThrows(PlatformUnavailableException.class, () -> services.tables().write(write("l", 0)));
        assertThrows(PlatformUnavailableException.class, () -> services.tables().read("k"));
        memory.storeAway(false);
        assertThat(services.tables().read("l")).isEmpty();
    }

    @Test
    void slowServiceTimesOut() {
        memory.tables().faults().delayMs(1_500);

        assertThrows(PlatformUnavailableException.class, () -> services.tables().read("k"));
        assertThrows(WriteOutcomeUnknownException.class, () -> services.tables().write(write("k", 0)));
    }

    @Test
    void unreachableServerIsReportedAsUnavailable() throws Exception {
        server.close();

        assertThrows(PlatformUnavailableException.class, () -> services.tables().write(write("k", 0)));
        assertThrows(
                PlatformUnavailableException.class, () -> services.objects().read("o"));
        assertThrows(
                PlatformUnavailableException.class, () -> services.instances().instances());
    }

    @Test
    void objectsInstancesAndMeasurementsAreRead() throws Exception {
        services.objects().write("o/1", "x".getBytes(StandardCharsets.UTF_8));
        Instance instance = new Instance("s", "i", "10.0.0.1:80", "r", "z", true);
        memory.instances().put(instance);
        Measurements.LinkTraffic traffic = new Measurements.LinkTraffic("a", "b", 5, 7);
        memory.measurements().show(List.of(traffic));

        assertThat(services.objects().read("o/1").orElseThrow()).isEqualTo("x".getBytes(StandardCharsets.UTF_8));
        assertThat(services.objects().read("o/2")).isEmpty();
        assertThat(services.instances().instances()).containsExactly(instance);
        assertThat(services.measurements().links()).containsExactly(traffic);
    }

    @Test
    void laggingListReturnsTheOldStateUntilItIsUpdated() throws Exception {
        Instance instance = new Instance("s", "i", "10.0.0.1:80", "r", "z", false);
        memory.instances().put(instance);
        memory.instances().lag(true);
        memory.instances().leave("i");

        assertThat(services.instances().instances().get(0).leaving()).isFalse();
        memory.instances().lag(false);
        assertThat(services.instances().instances().get(0).leaving()).isTrue();
    }
}
