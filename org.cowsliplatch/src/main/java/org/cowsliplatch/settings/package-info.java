/** Settings of an entry instance, checked as a whole before it starts. */
@NullMarked
package org.cowsliplatch.settings;

import org.jspecify.annotations.NullMarked;
