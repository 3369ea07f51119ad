package org.cowsliplatch.pgm;

/** Tells the version of the program. */
final class VersionCommand extends Subcommand {
    @Override
    String name() {
        return "version";
    }

    @Override
    String summary() {
        return "Tells the version of the program.";
    }

    @Override
    ExitCode run() {
        String version = getClass().getPackage().getImplementationVersion();
        print("cowsliplatch %s, Java %s", version == null ? "development" : version, Runtime.version());
        return ExitCode.OK;
    }
}
