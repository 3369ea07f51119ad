/** Traffic between regions: rate limits of this entry instance, and its leases on the capacity of links. */
@NullMarked
package org.cowsliplatch.internal.link;

import org.jspecify.annotations.NullMarked;
