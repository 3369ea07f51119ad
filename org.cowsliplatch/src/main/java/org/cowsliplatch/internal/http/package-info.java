/** HTTP clients that tell the end of a response by evidence. */
@NullMarked
package org.cowsliplatch.internal.http;

import org.jspecify.annotations.NullMarked;
