package org.cowsliplatch.internal.proxy;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.once.IdempotencyKey;
import org.cowsliplatch.internal.once.KeyClaim;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.cowsliplatch.internal.once.StoreClaims;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** The part of an exchange that makes a non-idempotent request run at most once. */
final class KeyStep {
    private final EntryContext context;
    private final Exchange exchange;
    private volatile @Nullable CompletableFuture<RecordedOutcome> record;

    KeyStep(EntryContext context, Exchange exchange) {
        this.context = context;
        this.exchange = exchange;
    }

    /** Returns whether this exchange runs a key and must record its result. */
    boolean isRecording() {
        return record != null;
    }

    /** Records the result if this exchange runs a key. */
    void record(RecordedOutcome recorded) {
        CompletableFuture<RecordedOutcome> mine = record;
        if (mine != null) {
            mine.complete(recorded);
        }
    }

    /** Decides what becomes of the request. */
    void start() {
        String header = exchange.headers().get(Headers.IDEMPOTENCY_KEY);
        if (exchange.route().idempotent() || header == null || context.keys().isEmpty()) {
            exchange.acquire();
            return;
        }
        Optional<IdempotencyKey> key = IdempotencyKey.Parser.parse(header);
        if (key.isEmpty()) {
            exchange.finish(Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    Headers.IDEMPOTENCY_KEY + " is malformed; take a key prefix from a look-up, add a dot and 16 to 64 "
                            + "random letters or digits"));
            return;
        }
        if (key.get() instanceof IdempotencyKey.Owned owned) {
            startOwned(owned);
        } else if (key.get() instanceof IdempotencyKey.Opaque foreign) {
            startForeign(foreign);
        }
    }

    private void startOwned(IdempotencyKey.Owned key) {
        Optional<KeyLedger> ledger = context.keys().orElseThrow().ledger(key.domain());
        if (ledger.isPresent()) {
            decide(ledger.get().claim(key, exchange.fingerprint()));
            return;
        }
        forwardToOwner(key.domain());
    }

    private void startForeign(IdempotencyKey.Opaque key) {
        KeyClaim claim = context.keys().orElseThrow().claimOpaque(key, exchange.fingerprint());
        if (!(claim instanceof KeyClaim.Run run)) {
            decide(claim);
            return;
        }
        record = run.outcome();
        context.blocking().execute(() -> claimInStore(key));
    }

    private void claimInStore(IdempotencyKey.Opaque key) {
        Span store = context.tracing().child(exchange.span(), "store", SpanKind.CLIENT);
        StoreClaims.Claim claim = context.keys().orElseThrow().storeClaims().claim(key, Exchange.nonce());
        store.setAttribute("cowsliplatch.claim", claim.getClass().getSimpleName());
        store.end();
        if (claim instanceof StoreClaims.Claim.Mine) {
            context.metrics().keyClaim("store");
            exchange.acquire();
        } else if (claim instanceof StoreClaims.Claim.Theirs theirs) {
            forwardToOwner(theirs.domain());
        } else if (claim instanceof StoreClaims.Claim.NotClaimed not) {
            context.metrics().keyClaim("store-away");
            context.keys().orElseThrow().releaseOpaque(key, not.reason());
            exchange.finish(Problem.busy(
                    Outcome.UNKNOWN,
                    "nothing ran here, but whether another copy did can't be told: " + not.reason()
                            + "; repeat with the same key, or use a key prefix from a look-up"));
        }
    }

    private void decide(KeyClaim claim) {
        if (claim instanceof KeyClaim.Run run) {
            context.metrics().keyClaim("run");
            record = run.outcome();
            exchange.acquire();
        } else if (claim instanceof KeyClaim.Duplicate duplicate) {
            context.metrics().keyClaim("duplicate");
            await(duplicate.outcome());
        } else if (claim instanceof KeyClaim.Rejected rejected) {
            context.metrics().keyClaim(rejected.reason().name());
            Outcome outcome = rejected.reason().neverRuns() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            exchange.finish(Problem.of(
                    HttpStatus.CONFLICT_409, outcome, rejected.reason().text()));
        } else if (claim instanceof KeyClaim.Moved moved) {
            awaitSuccessor(moved.successor());
        }
    }

    /** Answers with the result of the copy that runs or ran. */
    private void await(CompletableFuture<RecordedOutcome> other) {
        var unused = other.copy()
                .orTimeout(Math.max(1, exchange.leftMs()), TimeUnit.MILLISECONDS)
                .whenComplete((recorded, failure) -> {
                    if (failure != null) {
                        exchange.finish(Problem.of(
                                HttpStatus.GATEWAY_TIMEOUT_504, Outcome.UNKNOWN, "an earlier copy is still running"));
                        return;
                    }
                    replay(recorded);
                });
    }

    private void replay(RecordedOutcome recorded) {
        if (recorded instanceof RecordedOutcome.Answer answer) {
            exchange.finishReplayed(answer);
        } else if (recorded instanceof RecordedOutcome.NotRun notRun) {
            exchange.finish(Problem.busy(Outcome.NOT_RUN, notRun.detail() + "; use a new key"));
        } else if (recorded instanceof RecordedOutcome.Unknown unknown) {
            exchange.finish(Problem.of(HttpStatus.GATEWAY_TIMEOUT_504, Outcome.UNKNOWN, unknown.detail()));
        }
    }

    private void awaitSuccessor(CompletableFuture<String> successor) {
        var unused = successor
                .copy()
                .orTimeout(Math.max(1, exchange.leftMs()), TimeUnit.MILLISECONDS)
                .whenComplete((name, failure) -> {
                    if (failure != null) {
                        ownerGone();
                        return;
                    }
                    forwardTo(member(name));
                });
    }

    private void forwardToOwner(String domain) {
        Optional<Member> owner = Optional.empty();
        for (Member member : context.view().get().members()) {
            if (member.adoptedDomains().contains(domain)) {
                // A successor goes before the stopped owner, which may not be known to be gone yet.
                owner = Optional.of(member);
                break;
            }
            if (member.domain().equals(domain)) {
                owner = Optional.of(member);
            }
        }
        forwardTo(owner);
    }

    private void ownerGone() {
        context.metrics().keyClaim("owner-gone");
        exchange.finish(Problem.of(
                HttpStatus.GATEWAY_TIMEOUT_504,
                Outcome.UNKNOWN,
                "the entry instance that owns this key is gone; whether the request ran can't be told"));
    }

    private void forwardTo(Optional<Member> owner) {
        boolean forwarded = exchange.headers().contains(Headers.FORWARDED_BY);
        if (owner.isEmpty() || forwarded || owner.get().name().equals(context.self())) {
            ownerGone();
            return;
        }
        context.metrics().keyClaim("forwarded");
        new Forward(context, exchange, owner.get().callerAddress()).send();
    }

    private Optional<Member> member(String name) {
        return context.view().get().members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst();
    }
}
