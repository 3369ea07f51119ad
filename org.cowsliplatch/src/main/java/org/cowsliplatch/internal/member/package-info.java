/** Which entry instances live, and which of them has which duty. */
@NullMarked
package org.cowsliplatch.internal.member;

import org.jspecify.annotations.NullMarked;
