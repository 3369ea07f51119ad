/** Messages between entry instances and their transport. */
@NullMarked
package org.cowsliplatch.internal.peer;

import org.jspecify.annotations.NullMarked;
