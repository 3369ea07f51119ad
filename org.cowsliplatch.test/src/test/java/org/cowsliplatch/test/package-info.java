/** Tests of the whole path and helpers that several tests share. */
@NullMarked
package org.cowsliplatch.test;

import org.jspecify.annotations.NullMarked;
