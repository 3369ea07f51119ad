package org.cowsliplatch.pgm;

/** Texts that the command line shows. */
final class CliText {
    static final String USAGE = "usage: cowsliplatch COMMAND [OPTION …]   (COMMAND --help tells its options)";
    static final String UNKNOWN_COMMAND = "there is no command '%s'; did you mean '%s'?";
    static final String EXIT_CODES = "exit codes:";
    static final String SETTINGS_FINE = "%s: the settings are fine";
    static final String TABLES_FINE = "the tables are fine: %d routes, %d pools";
    static final String TABLES_WRITTEN =
            "version %d was written to %s; edit there, then: " + "cowsliplatch tables apply --folder %s --base %d";
    static final String NO_CHANGE = "nothing changes against version %d";
    static final String ACCEPTED = "accepted as version %d (edit id %s)";
    static final String IN_FORCE_EVERYWHERE = "version %d is in force on all %d entry instances";
    static final String NOT_IN_FORCE = "version %d is not in force yet on: %s";
    static final String CONFLICT = "conflict: version %d was accepted after your version %d";
    static final String THEIRS = "what others changed since your version:";
    static final String YOURS = "what you want to change:";
    static final String LEAVING = "the planned stop has begun; it ends when no request is in flight";
    static final String TOKEN_UNREADABLE = "the token file %s can't be read; name it with --token-file";
    static final String NO_ANSWER = "no answer from %s: %s";

    private CliText() {}
}
