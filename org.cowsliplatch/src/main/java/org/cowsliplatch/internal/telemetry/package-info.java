/** Metrics, traces and the decision log. */
@NullMarked
package org.cowsliplatch.internal.telemetry;

import org.jspecify.annotations.NullMarked;
