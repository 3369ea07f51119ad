package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.standin.BackendServer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Copies of one booking sent to several entry instances run at most once, also if a component fails. */
final class AtMostOnceTest {
    private static final byte[] BODY = "slot=14:30".getBytes(StandardCharsets.UTF_8);

    private TestSystem system;
    private final List<EntryInstance> entries = new ArrayList<>();
    private final List<BackendServer> bookings = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        system = new TestSystem();
        for (int i = 1; i <= 3; i++) {
            bookings.add(system.backend("booking", i));
            system.backend("case-lookup", i);
        }
        for (int i = 1; i <= 3; i++) {
            entries.add(system.entry("entry-" + i));
        }
        system.applyUsual("2s");
        entries.forEach(system::awaitBookings);
        Await.until("every entry instance is a member", () -> lookUp().size() == 3);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    private List<EntryLookup.Entry> lookUp() {
        try {
            CallerClient caller = system.caller();
            return caller.lookUp("booking").entries();
        } catch (org.cowsliplatch.client.CallerException e) {
            return List.of();
        }
    }

    private String key(String owner) {
        EntryLookup.Entry entry = lookUp().stream()
                .filter(found -> found.name().equals(owner))
                .findFirst()
                .orElseThrow();
        return CallerClient.newKey(entry);
    }

    private Request booking(int entry, String key) {
        return system.request(entries.get(entry), "POST", "/bookings")
                .body(new BytesRequestContent("text/plain", BODY))
                .headers(headers -> headers.put("Idempotency-Key", key));
    }

    private ContentResponse book(int entry, String key) {
        return TestSystem.send(booking(entry, key));
    }

    private int runs(String key) {
        return bookings.stream().mapToInt(backend -> backend.runs(key)).sum();
    }

    @Test
    void copiesAtOtherEntriesGetRecordedAnswer() {
        String key = key("entry-1");

        ContentResponse first = book(0, key);
        ContentResponse second = book(1, key);
        ContentResponse third = book(2, key);

        assertThat(first.getStatus()).isEqualTo(200);
        assertThat(second.getContentAsString()).isEqualTo(first.getContentAsString());
        assertThat(third.getContentAsString()).isEqualTo(first.getContentAsString());
        assertThat(third.getHeaders().get("Idempotency-Replayed")).isEqualTo("yes");
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void concurrentCopiesRunOnce() {
        bookings.forEach(backend -> backend.serviceMs(100));
        String key = key("entry-2");
        List<CompletableFuture<ContentResponse>> answers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            answers.add(new CompletableResponseListener(booking(i % 3, key)).send());
        }

        for (CompletableFuture<ContentResponse> answer : answers) {
            assertThat(answer.join().getStatus()).isEqualTo(200);
        }
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void keyReportedAsNotRunIsNeverRun() {
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.SHED));
        String key = key("entry-1");
        ContentResponse refused = book(0, key);
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.ANSWER));

        ContentResponse delayedCopy = book(1, key);

        assertThat(TestSystem.outcome(refused)).isEqualTo("not-run");
        assertThat(TestSystem.outcome(delayedCopy)).isEqualTo("not-run");
        assertThat(runs(key)).isEqualTo(0);
    }

    @Test
    void bookingCutOffByBackendStaysUnknownAndIsNotRunAgain() {
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.CLOSE));
        String key = key("entry-1");
        ContentResponse cut = book(0, key);
        bookings.forEach(backend -> backend.manner(BackendServer.Manner.ANSWER));

        ContentResponse again = book(2, key);

        assertThat(TestSystem.outcome(cut)).isEqualTo("unknown");
        assertThat(TestSystem.outcome(again)).isEqualTo("unknown");
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void keyOfClosedOwnerIsUnknown() {
        String key = key("entry-3");
        assertThat(book(2, key).getStatus()).isEqualTo(200);
        entries.get(2).close();

        ContentResponse response = book(0, key);

        assertThat(TestSystem.outcome(response)).isEqualTo("unknown");
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void keyOfRestartedOwnerIsUnknown() throws Exception {
        String key = key("entry-3");
        entries.get(2).close();
        entries.set(2, system.entry("entry-3"));
        system.awaitInForce(1);
        String domain = key.substring(0, "entry-3~0123456789abcdef".length());
        Await.until("the new incarnation is a member", () -> lookUp().stream()
                .anyMatch(found ->
                        found.name().equals("entry-3") && !found.keyPrefix().startsWith(domain)));

        ContentResponse atNewOwner = book(2, key);

        assertThat(TestSystem.outcome(atNewOwner)).isEqualTo("unknown");
        assertThat(runs(key)).isEqualTo(0);
    }

    @Test
    void forgedKeyIsNotRun() {
        String key = key("entry-1");
        int mac = key.indexOf('.') - 1;
        char other = key.charAt(mac) == 'A' ? 'B' : 'A';
        String forged = key.substring(0, mac) + other + key.substring(mac + 1);

        ContentResponse response = book(0, forged);

        assertThat(response.getStatus()).isEqualTo(409);
        assertThat(TestSystem.outcome(response)).isEqualTo("not-run");
        assertThat(runs(forged)).isEqualTo(0);
    }

    @Test
    void keyOfAnotherRequestIsRejected() {
        String key = key("entry-1");
        book(0, key);

        ContentResponse other = TestSystem.send(system.request(entries.get(0), "POST", "/bookings/other")
                .headers(headers -> headers.put("Idempotency-Key", key)));

        assertThat(other.getStatus()).isEqualTo(409);
        assertThat(TestSystem.outcome(other)).isEqualTo("unknown");
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void ownedKeysWorkWhileStoreIsUnavailable() {
        system.platform().storeAway(true);
        String key = key("entry-1");

        assertThat(book(0, key).getStatus()).isEqualTo(200);
        assertThat(book(1, key).getStatus()).isEqualTo(200);
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void opaqueKeysRunOnceThroughStore() {
        String key = "order-7f3a9c55e1b2d4f6";

        ContentResponse first = book(0, key);
        ContentResponse second = book(1, key);

        assertThat(first.getStatus()).isEqualTo(200);
        assertWithMessage(second.getContentAsString()).that(second.getStatus()).isEqualTo(200);
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void forwardingAndStoreClaimHaveSpans() {
        String trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        String owned = key("entry-1");
        for (String key : List.of(owned, "order-aaaabbbbccccdddd")) {
            TestSystem.send(booking(1, key)
                    .headers(headers -> headers.put("traceparent", "00-" + trace + "-00f067aa0ba902b7-01")));
        }

        String spans = TestSystem.send(system.http()
                        .newRequest("http://127.0.0.1:"
                                + entries.get(1).adminAddress().getPort() + "/v1/admin/traces/" + trace)
                        .headers(headers -> headers.put("Authorization", "Bearer " + TestSystem.TOKEN)))
                .getContentAsString();
        assertThat(spans).contains("\"forward\"");
        assertThat(spans).contains("\"store\"");
    }

    @Test
    void lostStoreAnswerDoesNotRunKeyTwice() {
        String key = "order-0123456789abcdef";
        system.platform().tables().faults().loseAnswers(1);

        assertThat(book(0, key).getStatus()).isEqualTo(200);
        assertThat(book(1, key).getStatus()).isEqualTo(200);
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void opaqueKeysDoNotRunWhileStoreIsUnavailableAndCanBeRetried() {
        String key = "order-fedcba9876543210";
        system.platform().storeAway(true);
        ContentResponse refused = book(0, key);
        assertThat(refused.getStatus()).isEqualTo(503);
        assertThat(runs(key)).isEqualTo(0);

        system.platform().storeAway(false);

        assertThat(book(0, key).getStatus()).isEqualTo(200);
        assertThat(runs(key)).isEqualTo(1);
    }
}
