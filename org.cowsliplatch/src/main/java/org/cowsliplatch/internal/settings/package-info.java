/** Parser and validation of settings files. */
@NullMarked
package org.cowsliplatch.internal.settings;

import org.jspecify.annotations.NullMarked;
