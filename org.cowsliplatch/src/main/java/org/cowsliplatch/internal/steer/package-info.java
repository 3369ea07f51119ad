/** Directories of entry instances and endpoints, and the choice of entry instance, region and pool. */
@NullMarked
package org.cowsliplatch.internal.steer;

import org.jspecify.annotations.NullMarked;
