/** Placement of requests by affinity key, so that they reach endpoints that have their object cached. */
@NullMarked
package org.cowsliplatch.internal.place;

import org.jspecify.annotations.NullMarked;
