package org.cowsliplatch.internal.proxy;

import java.io.EOFException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/**
 * Detects callers that close their HTTP/1.1 connection before their response is complete.
 *
 * <p>Jetty reads a connection only between requests, so it would notice the close no sooner than at the next write.
 */
public final class CallerDisconnectMonitor {
    private record MonitoredRequest(MonitoredEndPoint connection, Consumer<Throwable> onDisconnect) {}

    private final Map<Request, MonitoredRequest> monitored = new ConcurrentHashMap<>();

    /** Calls back at most once, if the caller disconnects; does nothing if its connection can't be monitored. */
    void watch(Request request, Consumer<Throwable> onDisconnect) {
        EndPoint connection = request.getConnectionMetaData().getConnection().getEndPoint();
        if (connection instanceof MonitoredEndPoint endPoint) {
            monitored.put(request, new MonitoredRequest(endPoint, onDisconnect));
        }
    }

    /** Stops monitoring a request. */
    void unwatch(Request request) {
        monitored.remove(request);
    }

    /** Checks all monitored connections once. */
    public void checkConnections() {
        monitored.forEach((request, entry) -> {
            if (entry.connection().isClosedByPeer() && monitored.remove(request) != null) {
                entry.onDisconnect()
                        .accept(new EOFException("the caller closed its connection before the response was complete"));
            }
        });
    }
}
