/** The route and pool tables that operators edit: their rules, versions and differences. */
@NullMarked
package org.cowsliplatch.table;

import org.jspecify.annotations.NullMarked;
