/** Watches tables of the platform's store, and relays their changes between entry instances. */
@NullMarked
package org.cowsliplatch.internal.follow;

import org.jspecify.annotations.NullMarked;
