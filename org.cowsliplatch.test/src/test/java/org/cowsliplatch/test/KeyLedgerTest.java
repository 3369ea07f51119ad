package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cowsliplatch.internal.once.IdempotencyKey;
import org.cowsliplatch.internal.once.KeyClaim;
import org.cowsliplatch.internal.once.KeyIssuer;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.junit.jupiter.api.Test;

/** Claims, expiry and hand-over of a {@link KeyLedger} with a manual clock. */
final class KeyLedgerTest {
    private static final String DOMAIN = "entry-1~0123456789abcdef";
    private static final long MINUTE_MS = 60_000;

    private final ManualTicker ticker = new ManualTicker();
    private final KeyIssuer issuer = new KeyIssuer(DOMAIN, new byte[32], ticker, ticker.nanos());
    private final KeyLedger ledger = new KeyLedger(issuer, 10_000);

    private IdempotencyKey.Owned key(String random) {
        String text = issuer.prefix() + "." + random;
        return (IdempotencyKey.Owned) IdempotencyKey.Parser.parse(text).orElseThrow();
    }

    private static void complete(KeyClaim claim, RecordedOutcome outcome) {
        ((KeyClaim.Run) claim).outcome().complete(outcome);
    }

    private static KeyClaim.Rejection rejection(KeyClaim claim) {
        return ((KeyClaim.Rejected) claim).reason();
    }

    @Test
    void recordOutlivesFirstUseWindow() {
        IdempotencyKey.Owned key = key("abcdefghijklmnop");
        complete(ledger.claim(key, "f"), new RecordedOutcome.NotRun("x"));
        ticker.advanceMs(29 * MINUTE_MS);
        ledger.sweep();
        assertThat(ledger.claim(key, "f")).isInstanceOf(KeyClaim.Duplicate.class);
        ticker.advanceMs(3 * MINUTE_MS);
        ledger.sweep();

        assertThat(rejection(ledger.claim(key, "f"))).isEqualTo(KeyClaim.Rejection.WINDOW_PAST);
    }

    @Test
    void delayedFirstCopyAfterFirstUseWindowIsRejected() {
        IdempotencyKey.Owned key = key("abcdefghijklmnop");
        ticker.advanceMs(KeyLedger.FIRST_USE_WINDOW_MINUTES * MINUTE_MS);

        assertThat(rejection(ledger.claim(key, "f"))).isEqualTo(KeyClaim.Rejection.WINDOW_PAST);
        assertThat(KeyClaim.Rejection.WINDOW_PAST.neverRuns()).isFalse();
    }

    @Test
    void recordOfRunningRequestIsNotRemoved() {
        IdempotencyKey.Owned key = key("abcdefghijklmnop");
        ledger.claim(key, "f");
        ticker.advanceMs(120 * MINUTE_MS);

        assertThat(ledger.sweep()).isEqualTo(1);
        assertThat(ledger.claim(key, "f")).isInstanceOf(KeyClaim.Duplicate.class);
    }

    @Test
    void newKeyIsRejectedWhenMemoryIsFull() {
        complete(
                ledger.claim(key("abcdefghijklmnop"), "f"),
                new RecordedOutcome.Answer(200, List.of(), new byte[20_000]));

        assertThat(rejection(ledger.claim(key("bbbbbbbbbbbbbbbb"), "f"))).isEqualTo(KeyClaim.Rejection.FULL);
    }

    @Test
    void onlySuccessorRunsKeysAfterHandOver() {
        IdempotencyKey.Owned used = key("abcdefghijklmnop");
        IdempotencyKey.Owned unused = key("bbbbbbbbbbbbbbbb");
        KeyClaim running = ledger.claim(used, "f");
        assertThat(ledger.freeze()).isFalse();
        complete(running, new RecordedOutcome.Answer(201, List.of(), new byte[3]));
        assertThat(ledger.freeze()).isTrue();
        KeyLedger successor = new KeyLedger(
                new KeyIssuer(DOMAIN, issuer.secret(), ticker, ticker.nanos() - issuer.ageNanos()), 10_000);
        successor.adopt(ledger.export());

        assertThat(ledger.claim(unused, "f")).isInstanceOf(KeyClaim.Moved.class);
        assertThat(ledger.claim(used, "f")).isInstanceOf(KeyClaim.Duplicate.class);
        assertThat(successor.claim(used, "f")).isInstanceOf(KeyClaim.Duplicate.class);
        assertThat(successor.claim(unused, "f")).isInstanceOf(KeyClaim.Run.class);
    }

    @Test
    void malformedKeysAreRejected() {
        assertThat(IdempotencyKey.Parser.parse("")).isEmpty();
        assertThat(IdempotencyKey.Parser.parse("with space in the key")).isEmpty();
        assertThat(IdempotencyKey.Parser.parse("x".repeat(500))).isEmpty();
        assertThat(IdempotencyKey.Parser.parse("\"" + key("abcdefghijklmnop").text() + "\""))
                .isPresent();
    }
}
