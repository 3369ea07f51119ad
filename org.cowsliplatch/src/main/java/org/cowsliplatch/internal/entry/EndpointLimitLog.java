package org.cowsliplatch.internal.entry;

import org.cowsliplatch.internal.limit.EndpointLimits;
import org.cowsliplatch.internal.telemetry.DecisionLog;

/** Writes each change of an endpoint's rate limit to the decision log. */
final class EndpointLimitLog implements EndpointLimits.Listener {
    private final DecisionLog decisions;

    EndpointLimitLog(DecisionLog decisions) {
        this.decisions = decisions;
    }

    @Override
    public void limitNamed(String endpointId, double perSecond, String source) {
        decisions
                .line("endpoint-limit")
                .with("endpoint", endpointId)
                .with("perSecond", perSecond)
                .with("source", source)
                .write(DecisionLog.Weight.NOTABLE);
    }

    @Override
    public void limitEnded(String endpointId, String source) {
        decisions
                .line("endpoint-limit-ended")
                .with("endpoint", endpointId)
                .with("source", source)
                .write(DecisionLog.Weight.NOTABLE);
    }
}
