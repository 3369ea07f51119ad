/** Reading of the settings file. */
@NullMarked
package org.cowsliplatch.internal.settings;

import org.jspecify.annotations.NullMarked;
