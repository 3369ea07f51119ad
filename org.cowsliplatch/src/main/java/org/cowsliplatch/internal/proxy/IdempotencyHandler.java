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

/** Handles the idempotency key of a request, so that a non-idempotent request is executed at most once. */
final class IdempotencyHandler {
    private final EntryContext context;
    private final Exchange exchange;
    private volatile @Nullable CompletableFuture<RecordedOutcome> record;

    IdempotencyHandler(EntryContext context, Exchange exchange) {
        this.context = context;
        this.exchange = exchange;
    }

    /** Returns whether the request has an idempotency key that counts. */
    boolean hasKey() {
        return !exchange.route().idempotent()
                && exchange.requestHeaders().contains(Headers.IDEMPOTENCY_KEY)
                && context.keys().isPresent();
    }

    /** Returns whether this exchange executes the request of a key and must record the result. */
    boolean isRecording() {
        return record != null;
    }

    /** Records the result if this exchange executes the request of a key. */
    void record(RecordedOutcome recorded) {
        CompletableFuture<RecordedOutcome> pending = record;
        if (pending != null) {
            pending.complete(recorded);
        }
    }

    /** Executes the request, waits for another copy of it, forwards it to the owner of its key, or rejects it. */
    void start() {
        if (!hasKey()) {
            exchange.acquire();
            return;
        }
        Optional<IdempotencyKey> key =
                IdempotencyKey.Parser.parse(exchange.requestHeaders().get(Headers.IDEMPOTENCY_KEY));
        if (key.isEmpty()) {
            exchange.finish(Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    Headers.IDEMPOTENCY_KEY + " is malformed; expected a key prefix from a look-up, a dot and 16 to 64 "
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
        context.blockingExecutor().execute(() -> claimInStore(key));
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
        } else if (claim instanceof StoreClaims.Claim.NotClaimed notClaimed) {
            context.metrics().keyClaim("store-away");
            context.keys().orElseThrow().releaseOpaque(key, notClaimed.reason());
            exchange.finish(Problem.unavailable(
                    Outcome.UNKNOWN,
                    "not executed here, but another copy may have been, since the claim of the key failed: "
                            + notClaimed.reason() + "; retry with the same key, or use a key prefix from a look-up"));
        }
    }

    private void decide(KeyClaim claim) {
        if (claim instanceof KeyClaim.Run run) {
            context.metrics().keyClaim("run");
            record = run.outcome();
            exchange.acquire();
        } else if (claim instanceof KeyClaim.Duplicate duplicate) {
            context.metrics().keyClaim("duplicate");
            awaitDuplicate(duplicate.outcome());
        } else if (claim instanceof KeyClaim.Rejected rejected) {
            context.metrics().keyClaim(rejected.reason().name());
            Outcome outcome = rejected.reason().neverRuns() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            exchange.finish(Problem.of(
                    HttpStatus.CONFLICT_409, outcome, rejected.reason().text()));
        } else if (claim instanceof KeyClaim.Moved moved) {
            awaitSuccessor(moved.successor());
        }
    }

    /** Responds with the result of the copy that is being, or was, executed. */
    private void awaitDuplicate(CompletableFuture<RecordedOutcome> duplicate) {
        if (exchange.isRefusedByStop()) {
            refuseForStop();
            return;
        }
        var unused = duplicate
                .copy()
                .orTimeout(Math.max(1, exchange.remainingMs()), TimeUnit.MILLISECONDS)
                .whenComplete((recorded, failure) -> {
                    if (failure != null) {
                        exchange.finish(Problem.of(
                                HttpStatus.GATEWAY_TIMEOUT_504,
                                Outcome.UNKNOWN,
                                "an earlier copy of the request was still in progress at the deadline"));
                        return;
                    }
                    replay(recorded);
                });
    }

    private void replay(RecordedOutcome recorded) {
        if (recorded instanceof RecordedOutcome.Answer answer) {
            exchange.finishWithReplay(answer);
        } else if (recorded instanceof RecordedOutcome.NotRun notRun) {
            exchange.finish(Problem.unavailable(Outcome.NOT_RUN, notRun.detail() + "; retry with a new key"));
        } else if (recorded instanceof RecordedOutcome.Unknown unknown) {
            exchange.finish(Problem.of(HttpStatus.GATEWAY_TIMEOUT_504, Outcome.UNKNOWN, unknown.detail()));
        }
    }

    private void awaitSuccessor(CompletableFuture<String> successor) {
        var unused = successor
                .copy()
                .orTimeout(Math.max(1, exchange.remainingMs()), TimeUnit.MILLISECONDS)
                .whenComplete((name, failure) -> {
                    if (failure != null) {
                        ownerUnavailable();
                        return;
                    }
                    forwardTo(member(name));
                });
    }

    private void forwardToOwner(String domain) {
        Optional<Member> owner = Optional.empty();
        for (Member member : context.view().get().members()) {
            if (member.adoptedDomains().contains(domain)) {
                // The successor takes precedence over the stopped owner, which may still be listed as a member.
                owner = Optional.of(member);
                break;
            }
            if (member.domain().equals(domain)) {
                owner = Optional.of(member);
            }
        }
        forwardTo(owner);
    }

    /** Refuses a request whose outcome only another copy, or the owner of the key, can tell. */
    private void refuseForStop() {
        exchange.finish(Problem.of(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                Outcome.UNKNOWN,
                "this entry instance stops before the deadline of the request, and another copy of it may have been "
                        + "executed; retry with the same key at another entry instance"));
    }

    private void ownerUnavailable() {
        context.metrics().keyClaim("owner-gone");
        exchange.finish(Problem.of(
                HttpStatus.GATEWAY_TIMEOUT_504,
                Outcome.UNKNOWN,
                "the entry instance that owns this key is unavailable; the request may have been executed"));
    }

    private void forwardTo(Optional<Member> owner) {
        boolean alreadyForwarded = exchange.requestHeaders().contains(Headers.FORWARDED_BY);
        if (owner.isEmpty() || alreadyForwarded || owner.get().name().equals(context.instanceName())) {
            ownerUnavailable();
            return;
        }
        if (exchange.isRefusedByStop()) {
            refuseForStop();
            return;
        }
        context.metrics().keyClaim("forwarded");
        new KeyOwnerForwarder(context, exchange, owner.get().callerAddress()).send();
    }

    private Optional<Member> member(String name) {
        return context.view().get().members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst();
    }
}
