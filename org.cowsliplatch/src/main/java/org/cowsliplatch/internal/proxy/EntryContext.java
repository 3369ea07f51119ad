package org.cowsliplatch.internal.proxy;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.once.KeyDesk;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.RegionChooser;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.internal.util.Ticker;

/**
 * What every request on this entry instance uses.
 *
 * @param self name of this entry instance
 * @param ticker clock
 * @param view current view
 * @param slots source of slots
 * @param regions choice of region
 * @param retries retry budgets
 * @param keys idempotency keys
 * @param client connections to backend servers and peers
 * @param lookup look-up answers
 * @param headroom free slots of other regions
 * @param links pacing of traffic between regions
 * @param timers threads for delays
 * @param metrics metrics
 * @param tracing traces
 * @param blocking threads for work that waits for the platform
 * @param bodyBytes longest request body
 */
public record EntryContext(
        String self,
        Ticker ticker,
        Supplier<SteeringView> view,
        SlotSource slots,
        RegionChooser regions,
        RetryBudgets retries,
        KeyDesk keys,
        BackendClient client,
        EntryLookup lookup,
        Headroom headroom,
        LinkPacer links,
        ScheduledExecutorService timers,
        Metrics metrics,
        Tracing tracing,
        Executor blocking,
        long bodyBytes) {}
