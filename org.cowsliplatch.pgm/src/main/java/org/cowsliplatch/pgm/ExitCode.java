package org.cowsliplatch.pgm;

/** Exit codes of all commands. */
public enum ExitCode {
    /** Done. */
    OK(0, "done"),
    /** The input breaks a rule, or an outcome was not as it should be. */
    INVALID(1, "the input breaks a rule, or an outcome was not as it should be"),
    /** The command line is wrong. */
    USAGE(2, "the command line is wrong"),
    /** Another operator's edit was accepted first. */
    CONFLICT(3, "another edit was accepted first; nothing was changed"),
    /** An entry instance or the store gave no answer; nothing was changed. */
    UNAVAILABLE(4, "no answer; nothing was changed"),
    /** It is not known whether the edit was accepted. */
    UNKNOWN(5, "not known yet whether the edit was accepted; run again with its edit id");

    private final int code;
    private final String text;

    ExitCode(int code, String text) {
        this.code = code;
        this.text = text;
    }

    /** Returns the number for the shell. */
    public int code() {
        return code;
    }

    /** Returns the meaning for the help text. */
    public String text() {
        return text;
    }
}
