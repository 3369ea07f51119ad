/** Storage, versions and distribution of the tables. */
@NullMarked
package org.cowsliplatch.internal.table;

import org.jspecify.annotations.NullMarked;
