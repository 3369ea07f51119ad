/** Regression bounds of the scenario benchmarks; the same figures every run. */
@NullMarked
package org.cowsliplatch.benchmarks;

import org.jspecify.annotations.NullMarked;
