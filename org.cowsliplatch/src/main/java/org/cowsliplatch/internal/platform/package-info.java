/** Adapters from the platform interfaces to HTTP and JSON. */
@NullMarked
package org.cowsliplatch.internal.platform;

import org.jspecify.annotations.NullMarked;
