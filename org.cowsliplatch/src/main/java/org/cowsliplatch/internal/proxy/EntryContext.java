package org.cowsliplatch.internal.proxy;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.once.KeyLedgerRegistry;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.RegionChooser;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.HttpDialect;
import org.jspecify.annotations.Nullable;

/**
 * What every request on this entry instance uses.
 *
 * @param self name of this entry instance
 * @param ticker clock
 * @param view current view
 * @param slots source of slots
 * @param regions choice of region
 * @param retries retry budgets
 * @param keys idempotency keys; empty where callers use none
 * @param client connections to backend servers and peers
 * @param headroom free slots of other regions
 * @param links pacing of traffic between regions, or null where it has no bound
 * @param timers threads for delays
 * @param metrics metrics
 * @param tracing traces
 * @param blocking threads for work that waits for the platform
 * @param bodyBytes longest request body
 * @param dialect names of headers
 * @param policy how requests are served
 * @param callers notices callers that go away
 * @param decisions log of decisions
 */
public record EntryContext(
        String self,
        Ticker ticker,
        Supplier<SteeringView> view,
        SlotSource slots,
        RegionChooser regions,
        RetryBudgets retries,
        Optional<KeyLedgerRegistry> keys,
        BackendClient client,
        Headroom headroom,
        @Nullable LinkPacer links,
        ScheduledExecutorService timers,
        Metrics metrics,
        Tracing tracing,
        Executor blocking,
        LongSupplier bodyBytes,
        HttpDialect dialect,
        ServingPolicy policy,
        CallerWatch callers,
        DecisionLog decisions) {}
