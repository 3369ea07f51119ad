package org.cowsliplatch.pgm;

import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.internal.platform.HttpPlatform;
import org.cowsliplatch.internal.telemetry.LineWriter;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.settings.SettingsReader;
import org.kohsuke.args4j.Option;

/** Runs an entry instance until it is stopped. */
final class EntryCommand extends Subcommand {
    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings file")
    private String file = "";

    @Override
    String name() {
        return "entry";
    }

    @Override
    String summary() {
        return "Runs an entry instance; TERM begins a planned stop, KILL ends it at once.";
    }

    @Override
    ExitCode run() throws CommandException {
        Settings settings = settings();
        LineWriter lines = LineWriter.start(System.out);
        JsonLogs.install(settings.telemetry().logLevel(), lines::write);
        try (HttpPlatform platform = HttpPlatform.start(settings.platform());
                EntryInstance entry = EntryInstance.start(settings, platform.services())) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry), "planned-stop"));
            entry.stopped().get();
            return ExitCode.OK;
        } catch (EntryStartException e) {
            throw new CommandException(ExitCode.UNAVAILABLE, e.text(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        } catch (ExecutionException e) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the stop failed: " + e.getMessage(), e);
        } finally {
            lines.close();
        }
    }

    private Settings settings() throws CommandException {
        try {
            return SettingsReader.read(Path.of(file));
        } catch (SettingsInvalidException e) {
            throw new CommandException(ExitCode.INVALID, e.text(), e);
        }
    }

    /** Holds the end of the process up until the planned stop is complete. */
    private static void stop(EntryInstance entry) {
        entry.drain().join();
    }
}
