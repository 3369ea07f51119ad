/** Administration API. */
@NullMarked
package org.cowsliplatch.internal.admin;

import org.jspecify.annotations.NullMarked;
