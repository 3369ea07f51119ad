/** Metrics and traces. */
@NullMarked
package org.cowsliplatch.internal.telemetry;

import org.jspecify.annotations.NullMarked;
