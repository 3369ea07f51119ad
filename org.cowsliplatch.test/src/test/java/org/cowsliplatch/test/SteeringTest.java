package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.standin.BackendServer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests one entry instance in front of misbehaving backend servers, over real sockets. */
final class SteeringTest {
    private TestSystem system;
    private EntryInstance entry;
    private final List<BackendServer> cases = new ArrayList<>();
    private final List<BackendServer> bookings = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        system = new TestSystem();
        for (int i = 1; i <= 3; i++) {
            cases.add(system.backend("case-lookup", i));
            bookings.add(system.backend("booking", i));
        }
        system.backend("memorial-archive", 1);
        entry = system.entry("entry-1");
        system.applyUsual("2s");
        system.awaitServed(entry, "/cases/0");
        system.awaitBookings(entry);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    private ContentResponse send(String method, String path) {
        return TestSystem.send(system.request(entry, method, path));
    }

    private int bookingRuns() {
        return bookings.stream().mapToInt(BackendServer::runs).sum();
    }

    @Test
    void requestIsProxiedUnchanged() {
        ContentResponse response = send("GET", "/cases/17?a=b%20c&d");

        assertThat(response.getStatus()).isEqualTo(200);
        assertThat(response.getContentAsString()).contains(" GET /cases/17?a=b%20c&d 0");
    }

    @Test
    void unknownHostPathAndMethodHaveDistinctErrors() {
        ContentResponse host = TestSystem.send(
                system.request(entry, "GET", "/cases/1").headers(headers -> headers.put("Host", "other.example")));
        ContentResponse path = send("GET", "/nothing");
        ContentResponse method = send("DELETE", "/cases/1");

        assertThat(host.getStatus()).isEqualTo(404);
        assertThat(host.getContentAsString()).contains("other.example");
        assertThat(path.getStatus()).isEqualTo(404);
        assertThat(method.getStatus()).isEqualTo(405);
        assertThat(method.getContentAsString()).contains("GET, POST");
        assertThat(TestSystem.outcome(method)).isEqualTo("not-run");
    }

    @Test
    void longHeaderIsRefusedAsProblem() throws Exception {
        String answer = raw(
                "GET /cases/1 HTTP/1.1\r\nHost: " + TestSystem.HOST + "\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n");

        assertThat(answer).startsWith("HTTP/1.1 431");
        assertThat(answer).contains("\"outcome\":\"not-run\"");
    }

    @Test
    void bodyOverLimitIsRefusedBeforeItIsRead() throws Exception {
        String answer = raw(uploadHead(9_000_000));

        assertThat(answer).startsWith("HTTP/1.1 413");
        assertThat(answer).contains("\"outcome\":\"not-run\"");
    }

    private static String uploadHead(long length) {
        return "PUT /memorials/1 HTTP/1.1\r\nHost: " + TestSystem.HOST + "\r\nContent-Length: " + length
                + "\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n";
    }

    /** Sends text on a new connection and returns up to 400 bytes of the response. */
    private String raw(String text) throws Exception {
        try (Socket socket = new Socket(
                entry.callerAddress().getAddress(), entry.callerAddress().getPort())) {
            socket.setSoTimeout(5_000);
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            byte[] head = socket.getInputStream().readNBytes(400);
            return new String(head, StandardCharsets.UTF_8);
        }
    }

    @Test
    void malformedTimeoutAndKeyAreRefused() {
        ContentResponse timeout = TestSystem.send(system.request(entry, "GET", "/cases/1")
                .headers(headers -> headers.put("Cowsliplatch-Timeout-Ms", "soon")));
        int before = bookingRuns();
        ContentResponse key = TestSystem.send(
                system.request(entry, "POST", "/bookings").headers(headers -> headers.put("Idempotency-Key", "short")));

        assertThat(timeout.getStatus()).isEqualTo(400);
        assertThat(key.getStatus()).isEqualTo(400);
        assertThat(key.getContentAsString()).contains("key prefix");
        assertThat(bookingRuns()).isEqualTo(before);
    }

    @Test
    void idempotentRequestIsRetriedAtAnotherEndpointAfterAConnectionLoss() {
        cases.get(0).manner(BackendServer.Manner.CLOSE);
        cases.get(1).manner(BackendServer.Manner.CLOSE);

        // Two retries for each of five requests stay within the initial retry budget of ten.
        for (int i = 0; i < 5; i++) {
            ContentResponse response = send("GET", "/cases/" + i);
            assertWithMessage(response.getContentAsString())
                    .that(response.getStatus())
                    .isEqualTo(200);
        }
    }

    @Test
    void nonIdempotentRequestThatMayHaveRunIsNeverRetried() {
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.CLOSE));
        int before = bookingRuns();

        ContentResponse response = send("POST", "/bookings");

        assertThat(response.getStatus()).isEqualTo(502);
        assertThat(TestSystem.outcome(response)).isEqualTo("unknown");
        assertThat(bookingRuns()).isEqualTo(before + 1);
    }

    @Test
    void shedBookingIsRetriedSinceItDidNotRun() {
        bookings.get(0).manner(BackendServer.Manner.SHED);
        bookings.get(1).manner(BackendServer.Manner.SHED);

        for (int i = 0; i < 5; i++) {
            assertThat(send("POST", "/bookings").getStatus()).isEqualTo(200);
        }
    }

    @Test
    void bookingShedByAllEndpointsIsNotRun() {
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.SHED));
        int before = bookingRuns();

        ContentResponse response = send("POST", "/bookings");

        assertThat(response.getStatus()).isEqualTo(503);
        assertThat(TestSystem.outcome(response)).isEqualTo("not-run");
        assertThat(response.getHeaders().contains("Retry-After")).isTrue();
        assertThat(bookingRuns()).isEqualTo(before);
    }

    @Test
    void truncatedResponseIsNeverEndedCleanly() {
        cases.forEach(backend -> backend.manner(BackendServer.Manner.CUT));

        Assertions.assertThrows(ExecutionException.class, () -> system.request(entry, "GET", "/cases/1")
                .send());
    }

    @Test
    void requestToHangingBackendTimesOutAndReleasesItsSlot() {
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.HANG));
        ContentResponse response = TestSystem.send(system.request(entry, "POST", "/bookings")
                .headers(headers -> headers.put("Cowsliplatch-Timeout-Ms", "200")));

        assertThat(response.getStatus()).isEqualTo(504);
        assertThat(TestSystem.outcome(response)).isEqualTo("unknown");

        bookings.forEach(backend -> backend.manner(BackendServer.Manner.ANSWER));
        for (int i = 0; i < 20; i++) {
            assertThat(send("POST", "/bookings").getStatus()).isEqualTo(200);
        }
    }

    @Test
    void deadlineAndTraceContextArePropagated() {
        String trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        TestSystem.send(system.request(entry, "GET", "/cases/trace")
                .headers(headers -> headers.put("traceparent", "00-" + trace + "-00f067aa0ba902b7-01")
                        .put("Cowsliplatch-Timeout-Ms", "700")));

        var seen = cases.stream()
                .flatMap(backend -> backend.seenHeaders().stream())
                .filter(headers -> String.valueOf(headers.get("traceparent")).contains(trace))
                .toList();
        assertThat(seen).hasSize(1);
        long left = Long.parseLong(seen.get(0).get("Cowsliplatch-Timeout-Ms"));
        assertThat(left).isAtMost(700);
        ContentResponse spans = TestSystem.send(system.http()
                .newRequest("http://127.0.0.1:" + entry.adminAddress().getPort() + "/v1/admin/traces/" + trace)
                .headers(headers -> headers.put("Authorization", "Bearer " + TestSystem.TOKEN)));
        assertThat(spans.getContentAsString()).contains("\"receive\"");
        assertThat(spans.getContentAsString()).contains("\"queue\"");
        assertThat(spans.getContentAsString()).contains("\"attempt\"");
    }

    @Test
    void silentConnectionLosesNoRequestAndDoesNotCountAgainstTheEndpoint() throws Exception {
        try (SilentRelay relay = new SilentRelay(cases.get(0).address())) {
            system.platform().instances().remove(cases.get(1).id());
            system.platform().instances().remove(cases.get(2).id());
            system.relist(cases.get(0), relay.address());
            Await.until("the relay is used", () -> {
                send("GET", "/cases/warm");
                return relay.connections() > 0;
            });
            relay.loseTrack();

            ContentResponse first = send("GET", "/cases/after");
            ContentResponse second = send("GET", "/cases/after");

            assertWithMessage(first.getContentAsString())
                    .that(first.getStatus())
                    .isEqualTo(200);
            assertThat(second.getStatus()).isEqualTo(200);
        }
    }

    @Test
    void bookingIsNotSentOnAStaleSilentConnection() throws Exception {
        try (SilentRelay relay = new SilentRelay(bookings.get(0).address())) {
            system.platform().instances().remove(bookings.get(1).id());
            system.platform().instances().remove(bookings.get(2).id());
            system.relist(bookings.get(0), relay.address());
            Await.until("the relay is used", () -> {
                send("POST", "/bookings");
                return relay.connections() > 0;
            });
            int before = relay.connections();
            Await.until("an idle connection is replaced", () -> idleConnectionIsReplaced(relay, before));
            relay.loseTrack();
            TimeUnit.MILLISECONDS.sleep(250);

            assertThat(send("POST", "/bookings").getStatus()).isEqualTo(200);
        }
    }

    private boolean idleConnectionIsReplaced(SilentRelay relay, int before) {
        try {
            TimeUnit.MILLISECONDS.sleep(250);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        send("POST", "/bookings");
        return relay.connections() > before;
    }

    @Test
    void uploadIsRefusedBeforeItsBodyIsSent() throws Exception {
        system.platform().instances().remove("memorial-archive-1");
        Await.until("the pool is empty", () -> send("PUT", "/memorials/0").getStatus() == 503);

        String answer = raw(uploadHead(5_000_000));

        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("\"outcome\":\"not-run\"");
    }

    @Test
    void uploadIsStreamedCompletely() {
        byte[] photo = new byte[5_000_000];

        ContentResponse response =
                TestSystem.send(system.request(entry, "PUT", "/memorials/1").body(new BytesRequestContent(photo)));

        assertThat(response.getContentAsString()).contains(" PUT /memorials/1 5000000");
    }

    @Test
    void leavingBackendGetsNoFurtherRequests() {
        cases.get(0).manner(BackendServer.Manner.LEAVE);
        Await.until("the backend server announced that it is leaving", () -> {
            assertThat(send("GET", "/cases/1").getStatus()).isEqualTo(200);
            return cases.get(0).refusals() > 0;
        });
        cases.get(0).manner(BackendServer.Manner.ANSWER);
        int before = cases.get(0).runs();
        for (int i = 0; i < 12; i++) {
            assertThat(send("GET", "/cases/" + i).getStatus()).isEqualTo(200);
        }

        assertThat(cases.get(0).runs()).isEqualTo(before);
    }
}
