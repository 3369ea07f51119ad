package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.cowsliplatch.entry.EntryInstance;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.pgm.ExitCode;
import org.cowsliplatch.pgm.Main;
import org.cowsliplatch.settings.Settings;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the administration API and the commands that use it. */
final class AdminTest {
    @TempDir
    private Path folder;

    private TestSystem system;
    private EntryInstance entry;
    private String out = "";

    @BeforeEach
    void start() throws Exception {
        system = new TestSystem();
        entry = system.entry("entry-1");
        system.applyUsual("2s");
        Files.writeString(folder.resolve("token"), TestSystem.TOKEN + "\n");
    }

    @AfterEach
    void stop() {
        system.close();
    }

    private ContentResponse call(String method, String path, String body, String... headers) {
        return TestSystem.send(system.http()
                .newRequest("http://" + Addresses.text(entry.adminAddress()) + path)
                .method(method)
                .body(new StringRequestContent("application/json", body))
                .headers(fields -> {
                    fields.put("Authorization", "Bearer " + TestSystem.TOKEN);
                    for (int i = 0; i < headers.length; i += 2) {
                        fields.put(headers[i], headers[i + 1]);
                    }
                }));
    }

    private ExitCode run(String... arguments) {
        List<String> args = new ArrayList<>(List.of(arguments));
        args.addAll(List.of(
                "--admin",
                "http://" + Addresses.text(entry.adminAddress()),
                "--token-file",
                folder.resolve("token").toString()));
        return runMain(args.toArray(String[]::new));
    }

    private ExitCode runMain(String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        ExitCode exitCode = Main.run(List.of(arguments), stream, stream);
        out = bytes.toString(StandardCharsets.UTF_8);
        return exitCode;
    }

    @Test
    void requestWithoutTheTokenIsRejected() {
        ContentResponse response = TestSystem.send(
                system.http().newRequest("http://" + Addresses.text(entry.adminAddress()) + "/v1/admin/tables"));

        assertThat(response.getStatus()).isEqualTo(401);
        assertThat(response.getContentAsString()).doesNotContain("booking");
    }

    @Test
    void adminListenerUsesTlsIfTheSettingsNameAKeyStore() throws Exception {
        Path store = Path.of("src", "test", "resources", "admin.p12").toAbsolutePath();
        Settings plain = system.settings("entry-tls", List.of());
        Settings.Admin admin = new Settings.Admin(
                TestSystem.TOKEN, Optional.of(new Settings.KeyStoreFile(store, "test-store-password")));
        Settings settings = new Settings(
                plain.system(),
                plain.instance(),
                plain.region(),
                plain.zone(),
                plain.listen(),
                plain.regions(),
                plain.links(),
                plain.delays(),
                plain.platform(),
                plain.maxEntries(),
                plain.seeds(),
                admin,
                plain.telemetry(),
                plain.limits());
        HttpClient trustingClient = new HttpClient();
        trustingClient.setSslContextFactory(new SslContextFactory.Client(true));
        trustingClient.start();
        try (EntryInstance secured =
                EntryInstance.start(settings, system.platform().services())) {
            String address = Addresses.text(secured.adminAddress());

            assertThat(trustingClient.GET("https://" + address + "/healthz").getStatus())
                    .isEqualTo(200);
            assertThrows(ExecutionException.class, () -> trustingClient.GET("http://" + address + "/healthz"));
        } finally {
            trustingClient.stop();
        }
    }

    @Test
    void metricsAndHealthChecksNeedNoToken() {
        String metrics = TestSystem.send(
                        system.http().newRequest("http://" + Addresses.text(entry.adminAddress()) + "/metrics"))
                .getContentAsString();

        assertThat(metrics).contains("cowsliplatch_table_version 1.0");
        assertThat(metrics).contains("cowsliplatch_members 1.0");
        assertThat(call("GET", "/readyz", "").getStatus()).isEqualTo(200);
    }

    @Test
    void malformedBodyMissingVersionAndInvalidTablesAreRejected() {
        ContentResponse body = call("PUT", "/v1/admin/tables", "{\"routes\":7", "If-Match", "\"1\"");
        ContentResponse version = call("PUT", "/v1/admin/tables", "{}");
        ContentResponse rules = call("POST", "/v1/admin/tables/check", "{\"routes\":[{\"name\":\"x\"}],\"pools\":[]}");

        assertThat(body.getStatus()).isEqualTo(400);
        assertThat(version.getStatus()).isEqualTo(428);
        assertThat(version.getContentAsString()).contains("If-Match");
        assertThat(rules.getStatus()).isEqualTo(422);
        assertThat(rules.getContentAsString()).contains("\"column\":\"host\"");
        assertThat(entry.tableVersion()).isEqualTo(1);
    }

    @Test
    void editDiffApplyHistoryAndStatusCommands() throws Exception {
        String tables = folder.resolve("tables").toString();
        assertThat(run("tables", "edit", "--folder", tables)).isEqualTo(ExitCode.OK);
        Path routes = folder.resolve("tables").resolve("routes.csv");
        Files.writeString(routes, Files.readString(routes).replace("10s", "20s"));

        assertThat(run("tables", "diff", "--folder", tables)).isEqualTo(ExitCode.OK);
        assertThat(out).contains("~ routes/memorial timeout: 10s -> 20s");
        assertThat(run("tables", "apply", "--folder", tables, "--base", "1", "--author", "kim", "--wait"))
                .isEqualTo(ExitCode.OK);
        assertThat(out).contains("version 2 is in force on all 1 entry instances");
        assertThat(run("tables", "history")).isEqualTo(ExitCode.OK);
        assertThat(out).contains("by kim");
        assertThat(run("tables", "status")).isEqualTo(ExitCode.OK);
        assertThat(out).contains("version 2");
        assertThat(run("tables", "show", "--json")).isEqualTo(ExitCode.OK);
        assertThat(out).contains("\"20s\"");
        assertThat(run("status")).isEqualTo(ExitCode.OK);
        assertThat(out).contains("entry-1 in svealand-a");
    }

    @Test
    void conflictingEditReturnsExitCodeAndBothDiffs() throws Exception {
        String tables = folder.resolve("tables").toString();
        run("tables", "edit", "--folder", tables);
        Path routes = folder.resolve("tables").resolve("routes.csv");
        Files.writeString(routes, Files.readString(routes).replace("10s", "20s"));
        assertThat(run("tables", "apply", "--folder", tables, "--base", "1")).isEqualTo(ExitCode.OK);
        Files.writeString(routes, Files.readString(routes).replace("20s", "30s"));

        ExitCode exitCode = run("tables", "apply", "--folder", tables, "--base", "1");

        assertThat(exitCode).isEqualTo(ExitCode.CONFLICT);
        assertThat(out).contains("~ routes/memorial timeout: 10s -> 20s");
        assertThat(out).contains("~ routes/memorial timeout: 10s -> 30s");
    }

    @Test
    void everyCommandPrintsItsOptionsAndExitCodes() {
        for (String name : List.of(
                "entry",
                "tables check",
                "tables show",
                "tables diff",
                "tables apply",
                "tables edit",
                "tables history",
                "tables status",
                "lookup",
                "status",
                "drain",
                "settings check",
                "explain",
                "demo",
                "version")) {
            List<String> arguments = new ArrayList<>(List.of(name.split(" ", -1)));
            arguments.add("--help");
            assertThat(runMain(arguments.toArray(String[]::new))).isEqualTo(ExitCode.OK);
            assertThat(out).contains("exit codes:");
        }
        assertThat(runMain("tabels", "apply")).isEqualTo(ExitCode.USAGE);
        assertThat(out).contains("did you mean 'tables apply'?");
        assertThat(runMain("settings", "check", "../examples/nordvik/entry.json"))
                .isEqualTo(ExitCode.OK);
        assertThat(runMain("tables", "check", "--folder", "../examples/ritagli"))
                .isEqualTo(ExitCode.OK);
        assertThat(runMain("version")).isEqualTo(ExitCode.OK);
    }
}
