package org.cowsliplatch.adapter;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.pgm.Main;
import org.cowsliplatch.settings.DeploymentSettings;

/** An entry instance that runs as a process of its own, started like a deployed one. */
final class EntryProcess {
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final Process process;
    private final DeploymentSettings.Listen listen;

    private EntryProcess(Process process, DeploymentSettings.Listen listen) {
        this.process = process;
        this.listen = listen;
    }

    /** Starts a process; its settings and its log, NAME.log, are in the folder. */
    static EntryProcess start(
            Path folder, String name, String zone, String store, int stopSeconds, DeploymentSettings.Listen listen)
            throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, """
                {"instance": {"name": "%1$s", "region": "north", "zone": "%2$s"}, "zones": {"%2$s": "north"},
                 "listen": {"caller": "%3$s", "ready": "%4$s", "directory": "%5$s", "peer": "%6$s", "metrics": "%7$s"},
                 "store": "%8$s", "stopSeconds": %9$d, "repeats": {"perRequest": 0.2, "slack": 64}}
                """.formatted(
                        name,
                        zone,
                        Addresses.text(listen.caller()),
                        Addresses.text(listen.ready()),
                        Addresses.text(listen.directory()),
                        Addresses.text(listen.peer()),
                        Addresses.text(listen.metrics()),
                        store,
                        stopSeconds));
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of("serve", "--settings", settings.toString()));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()))
                .start();
        return new EntryProcess(process, listen);
    }

    DeploymentSettings.Listen listen() {
        return listen;
    }

    /** Begins a planned stop by SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        var unused = process.waitFor(10, TimeUnit.SECONDS);
    }
}
