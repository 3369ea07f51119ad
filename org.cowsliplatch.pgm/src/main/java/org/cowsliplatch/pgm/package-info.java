/** The command line: one class for each subcommand. */
@NullMarked
package org.cowsliplatch.pgm;

import org.jspecify.annotations.NullMarked;
