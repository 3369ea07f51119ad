/** Client library for callers; an example, and used by tests. */
@NullMarked
package org.cowsliplatch.client;

import org.jspecify.annotations.NullMarked;
