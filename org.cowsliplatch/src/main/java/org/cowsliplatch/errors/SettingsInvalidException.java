package org.cowsliplatch.errors;

import java.util.List;

/** The settings are invalid; the message has one line for each problem. */
public final class SettingsInvalidException extends CowsliplatchException {
    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param problems all problems found, each with file, line, field and remedy
     */
    public SettingsInvalidException(List<String> problems) {
        super(String.join("\n", problems), null);
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found, in file order. */
    public List<String> problems() {
        return problems;
    }
}
