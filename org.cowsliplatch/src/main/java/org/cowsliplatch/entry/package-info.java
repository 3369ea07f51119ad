/** Starting and stopping an entry instance. */
@NullMarked
package org.cowsliplatch.entry;

import org.jspecify.annotations.NullMarked;
