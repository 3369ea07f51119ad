package org.cowsliplatch.internal.proxy;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongFunction;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.cowsliplatch.internal.limit.RetryBudgets;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.link.LinkPacer;
import org.cowsliplatch.internal.once.KeyLedgerRegistry;
import org.cowsliplatch.internal.steer.Headroom;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.steer.RegionChooser;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.HttpDialect;
import org.jspecify.annotations.Nullable;

/**
 * Dependencies shared by all requests on this entry instance.
 *
 * @param instanceName name of this entry instance
 * @param ticker clock
 * @param view current tables, endpoints and members
 * @param tablesOrigin returns the origin of a version of the tables, by its number
 * @param slots grants slots
 * @param regionChooser chooses the region of a request
 * @param retryBudgets retry budgets by pool
 * @param keys idempotency keys; empty if the deployment does not use them
 * @param backendClient HTTP client for backend servers and peers
 * @param headroom free slots in other regions
 * @param linkPacer paces traffic between regions; null if it is not limited
 * @param scheduler runs delayed actions
 * @param metrics metrics
 * @param tracing traces
 * @param blockingExecutor runs blocking calls to the platform
 * @param maxBodyBytes returns the maximum length of a request body in bytes by the number of the tables
 * @param dialect names of HTTP headers
 * @param policy deployment-specific serving options
 * @param disconnectMonitor detects callers that close their connections
 * @param leaving endpoints that are leaving
 * @param decisionLog log of decisions on requests
 */
public record EntryContext(
        String instanceName,
        Ticker ticker,
        Supplier<SteeringView> view,
        LongFunction<TablesOrigin> tablesOrigin,
        SlotSource slots,
        RegionChooser regionChooser,
        RetryBudgets retryBudgets,
        Optional<KeyLedgerRegistry> keys,
        BackendClient backendClient,
        Headroom headroom,
        @Nullable LinkPacer linkPacer,
        ScheduledExecutorService scheduler,
        Metrics metrics,
        Tracing tracing,
        Executor blockingExecutor,
        LongUnaryOperator maxBodyBytes,
        HttpDialect dialect,
        ServingPolicy policy,
        CallerDisconnectMonitor disconnectMonitor,
        LeavingEndpoints leaving,
        DecisionLog decisionLog) {}
