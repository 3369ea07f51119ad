package org.cowsliplatch.pgm;

import java.io.PrintStream;
import java.util.List;
import org.cowsliplatch.internal.util.Json;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Base of all subcommands: parses options, prints help, turns failures into exit codes. */
abstract class Subcommand {
    @Option(name = "--help", help = true, usage = "tell what the command does, its options and exit codes")
    private boolean help;

    private PrintStream out = System.out;

    /** Returns the name, such as {@code tables apply}. */
    abstract String name();

    /** Returns one sentence that tells what the command does. */
    abstract String summary();

    /**
     * Does the work.
     *
     * @return exit code
     * @throws CommandException if the command ends early
     */
    abstract ExitCode run() throws CommandException;

    /** Parses the options and runs; never throws. */
    final ExitCode execute(List<String> args, PrintStream stdout, PrintStream stderr) {
        out = stdout;
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
            if (help) {
                printHelp(parser);
                return ExitCode.OK;
            }
            return run();
        } catch (CmdLineException e) {
            stderr.println(e.getMessage());
            stderr.println("usage: cowsliplatch " + name() + " [OPTION …]");
            parser.printUsage(stderr);
            return ExitCode.USAGE;
        } catch (CommandException e) {
            stderr.println(e.getMessage());
            return e.exitCode();
        }
    }

    /** Prints a line for the user. */
    final void print(String format, Object... args) {
        out.println(args.length == 0 ? format : String.format(java.util.Locale.ROOT, format, args));
    }

    /** Prints a value for a script. */
    final void printJson(Object value) {
        out.println(Json.indented(value));
    }

    /** Returns where the command prints. */
    final PrintStream out() {
        return out;
    }

    private void printHelp(CmdLineParser parser) {
        out.println("cowsliplatch " + name() + ": " + summary());
        out.println();
        parser.printUsage(out);
        out.println();
        out.println(CliText.EXIT_CODES);
        for (ExitCode code : ExitCode.values()) {
            out.println("  " + code.code() + "  " + code.text());
        }
    }
}
