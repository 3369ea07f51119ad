package org.cowsliplatch.pgm;

import java.nio.file.Path;
import java.util.Map;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.settings.SettingsReader;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Checks a settings file. */
final class SettingsCheckCommand extends Subcommand {
    @Argument(metaVar = "FILE", required = true, usage = "settings file")
    private String file = "";

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    @Override
    String name() {
        return "settings check";
    }

    @Override
    String summary() {
        return "Checks a settings file and tells every problem.";
    }

    @Override
    ExitCode run() throws CommandException {
        try {
            SettingsReader.read(Path.of(file));
        } catch (SettingsInvalidException e) {
            if (json) {
                printJson(Map.of("problems", e.problems()));
                return ExitCode.INVALID;
            }
            throw new CommandException(ExitCode.INVALID, e.text(), e);
        }
        if (json) {
            printJson(Map.of("problems", java.util.List.of()));
        } else {
            print(CliText.SETTINGS_FINE, file);
        }
        return ExitCode.OK;
    }
}
