/** Scenario benchmarks on an injected clock, and micro-benchmarks. */
@NullMarked
package org.cowsliplatch.benchmarks;

import org.jspecify.annotations.NullMarked;
