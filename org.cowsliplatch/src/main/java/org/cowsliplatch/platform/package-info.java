/** Interfaces to the services that the platform provides. */
@NullMarked
package org.cowsliplatch.platform;

import org.jspecify.annotations.NullMarked;
