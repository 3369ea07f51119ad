/** Admission control: concurrency limits of endpoints, queues by rank, retry budgets. */
@NullMarked
package org.cowsliplatch.internal.limit;

import org.jspecify.annotations.NullMarked;
