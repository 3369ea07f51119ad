/** The way of one request from the caller to an endpoint and back. */
@NullMarked
package org.cowsliplatch.internal.proxy;

import org.jspecify.annotations.NullMarked;
