/** Traffic between regions: budgets of this entry instance, and what it leases of the cap. */
@NullMarked
package org.cowsliplatch.internal.link;

import org.jspecify.annotations.NullMarked;
