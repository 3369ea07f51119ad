/** Membership: the live entry instances and their descriptions. */
@NullMarked
package org.cowsliplatch.internal.member;

import org.jspecify.annotations.NullMarked;
