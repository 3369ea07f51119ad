package org.cowsliplatch.pgm;

import org.cowsliplatch.errors.CowsliplatchException;
import org.jspecify.annotations.Nullable;

/** A command ends early with a message and an exit code. */
public final class CommandException extends CowsliplatchException {
    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode exit code of the command
     * @param message what to tell the user
     * @param cause failure below, or null
     */
    public CommandException(ExitCode exitCode, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    /** Returns the exit code. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
