package org.cowsliplatch.pgm;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.cowsliplatch.adapter.RowStoreClient;
import org.cowsliplatch.adapter.UserFormat;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.internal.entry.DeployedEntry;
import org.cowsliplatch.internal.telemetry.LineWriter;
import org.cowsliplatch.settings.DeploymentSettings;
import org.cowsliplatch.settings.SettingsReader;
import org.jboss.logging.Logger;
import org.kohsuke.args4j.Option;

/** Runs an entry instance on the users' platform until it is stopped. */
final class ServeCommand extends Subcommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class);

    /** Environment variable with assignments as for {@code --set}, separated by blanks. */
    private static final String ASSIGNMENTS_VARIABLE = "COWSLIPLATCH_SET";

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings file")
    private String file = "";

    @Option(
            name = "--set",
            metaVar = "SECTION.FIELD=VALUE",
            usage =
                    "value, as JSON, that replaces one of the settings file; may be repeated; COWSLIPLATCH_SET holds more")
    private List<String> assignments = new ArrayList<>();

    @Override
    String name() {
        return "serve";
    }

    @Override
    String summary() {
        return "Runs an entry instance on a platform with a row store; TERM begins a planned stop, HUP reads settings.";
    }

    @Override
    ExitCode run() throws CommandException {
        DeploymentSettings settings = settings();
        LineWriter lines = LineWriter.start(System.out);
        JsonLogs.install("info", lines::write);
        try (RowStoreClient store = RowStoreClient.start(settings.store());
                DeployedEntry entry = DeployedEntry.start(settings, store, new UserFormat(), lines::write)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> entry.drain().join(), "planned-stop"));
            Signals.onHangUp(() -> reload(settings));
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

    private DeploymentSettings settings() throws CommandException {
        try {
            return SettingsReader.readDeployment(Path.of(file), allAssignments());
        } catch (SettingsInvalidException e) {
            throw new CommandException(ExitCode.INVALID, e.text(), e);
        }
    }

    /** Returns the assignments of the environment, and then those of the command line, which go before them. */
    private List<String> allAssignments() {
        String variable = System.getenv().getOrDefault(ASSIGNMENTS_VARIABLE, "");
        List<String> all = new ArrayList<>(
                List.of(variable.isBlank() ? new String[0] : variable.strip().split("\\s+")));
        all.addAll(assignments);
        return all;
    }

    /** Reads the settings again; what differs takes effect with the next start, and is told. */
    private void reload(DeploymentSettings inForce) {
        try {
            DeploymentSettings read = settings();
            LOG.infof(
                    "settings were read again; %s",
                    read.equals(inForce) ? "nothing has changed" : "what has changed takes effect with the next start");
        } catch (CommandException e) {
            LOG.errorf("settings were read again and are refused, those in force stay: %s", e.getMessage());
        }
    }
}
