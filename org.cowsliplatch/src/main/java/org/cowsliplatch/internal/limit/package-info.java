/** Slots of endpoints, queues by rank, retry budgets: who may send what, and when. */
@NullMarked
package org.cowsliplatch.internal.limit;

import org.jspecify.annotations.NullMarked;
