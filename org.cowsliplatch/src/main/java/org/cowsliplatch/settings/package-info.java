/** Settings of an entry instance, validated as a whole before it starts. */
@NullMarked
package org.cowsliplatch.settings;

import org.jspecify.annotations.NullMarked;
