package org.cowsliplatch.pgm;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.internal.util.ClosestMatch;

/** Entry point of the one binary. */
public final class Main {
    private static final String LOG_MANAGER = "java.util.logging.manager";

    private Main() {}

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] args) {
        if (System.getProperty(LOG_MANAGER) == null) {
            System.setProperty(LOG_MANAGER, "org.jboss.logmanager.LogManager");
        }
        ExitCode exitCode = run(List.of(args), System.out, System.err);
        System.out.flush();
        System.exit(exitCode.code());
    }

    /**
     * Runs a subcommand in this process.
     *
     * @param args name of the subcommand, of one or two words, and its options
     * @param out where results go
     * @param err where complaints go
     * @return exit code
     */
    public static ExitCode run(List<String> args, PrintStream out, PrintStream err) {
        Map<String, Subcommand> commands = Commands.byName();
        if (args.isEmpty() || args.get(0).equals("--help")) {
            printCommands(commands, out);
            return args.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        for (int words = Math.min(2, args.size()); words >= 1; words--) {
            Subcommand command = commands.get(String.join(" ", args.subList(0, words)));
            if (command != null) {
                return command.execute(args.subList(words, args.size()), out, err);
            }
        }
        String given = String.join(" ", args.subList(0, Math.min(2, args.size())));
        err.println(String.format(
                java.util.Locale.ROOT, CliText.UNKNOWN_COMMAND, given, ClosestMatch.find(given, commands.keySet())));
        err.println(CliText.USAGE);
        return ExitCode.USAGE;
    }

    private static void printCommands(Map<String, Subcommand> commands, PrintStream out) {
        out.println(CliText.USAGE);
        out.println();
        for (String name : Commands.names()) {
            Subcommand command = commands.get(name);
            if (command != null) {
                out.printf("  %-16s %s%n", name, command.summary());
            }
        }
    }
}
