/** A client for callers, as an example and for tests. */
@NullMarked
package org.cowsliplatch.client;

import org.jspecify.annotations.NullMarked;
