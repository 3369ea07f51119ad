/** Messages between entry instances, their encoding and their transport. */
@NullMarked
package org.cowsliplatch.internal.peer;

import org.jspecify.annotations.NullMarked;
