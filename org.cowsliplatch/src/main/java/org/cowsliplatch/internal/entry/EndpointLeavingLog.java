package org.cowsliplatch.internal.entry;

import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.telemetry.DecisionLog;

/** Writes each endpoint that is found to be leaving to the decision log. */
final class EndpointLeavingLog implements LeavingEndpoints.Listener {
    private final DecisionLog decisions;

    EndpointLeavingLog(DecisionLog decisions) {
        this.decisions = decisions;
    }

    @Override
    public void leaving(String endpointId, LeavingEndpoints.Source source, String from) {
        decisions
                .line("endpoint-leaving")
                .with("endpoint", endpointId)
                .with("source", source.name())
                .with("from", from)
                .write(DecisionLog.Weight.NOTABLE);
    }
}
