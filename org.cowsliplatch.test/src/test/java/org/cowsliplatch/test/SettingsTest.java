package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.settings.Settings;
import org.cowsliplatch.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** Tests the validation of settings files, including the shipped examples. */
final class SettingsTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final Path NORDVIK = EXAMPLES.resolve("nordvik").resolve("entry.json");

    private static List<String> problems(String text) {
        return assertThrows(SettingsInvalidException.class, () -> SettingsReader.parse(text, NORDVIK))
                .problems();
    }

    private static String nordvik() throws IOException {
        return Files.readString(NORDVIK);
    }

    @Test
    void examplesAreValid() throws SettingsInvalidException {
        Settings nordvik = SettingsReader.read(NORDVIK);
        Settings ritagli = SettingsReader.read(EXAMPLES.resolve("ritagli").resolve("entry.json"));

        assertThat(nordvik.regions().keySet())
                .containsExactly("gotaland", "norrland", "svealand")
                .inOrder();
        assertThat(nordvik.linkCap("norrland", "svealand")).isEqualTo(4_000_000_000L);
        assertThat(ritagli.delays().region().toMillis()).isEqualTo(35);
        assertThat(nordvik.admin().toString()).doesNotContain("token-");
    }

    @Test
    void reportsAllProblemsAtOnceWithLineFieldAndRemedy() throws IOException {
        String text = nordvik()
                .replace("\"region\": \"svealand\", \"zone\": \"svealand-a\"", "\"region\": \"svealnd\"")
                .replace("127.0.0.1:8082", "127.0.0.1:8080")
                .replace("\"mostEntries\": 12", "\"mostEntries\": \"twelve\"")
                .replace("\"logLevel\": \"info\"", "\"logLevl\": \"info\"")
                .replace("{ \"a\": \"gotaland\", \"b\": \"norrland\", \"mbitEachWay\": 4000 }", "");

        List<String> problems = problems(text);

        assertThat(problems).hasSize(6);
        assertThat(problems.get(0)).contains(":7: instance.region: there is no 'svealnd'; did you mean \"svealand\"?");
        assertThat(problems.get(1)).contains("instance.zone: is missing; add \"zone\"");
        assertThat(problems.get(2)).contains("listen.admin: 127.0.0.1:8080 clashes with listen.caller");
        assertThat(problems.get(3)).contains("there is no link of gotaland and norrland; add {");
        assertThat(problems.get(4)).contains("mostEntries: is a string; write a number without quotes");
        assertThat(problems.get(5)).contains("telemetry.logLevl: unknown name; did you mean \"logLevel\"?");
    }

    @Test
    void rejectsHostNamesInPlaceOfIpAddresses() throws IOException {
        List<String> problems =
                problems(nordvik().replace("\"caller\": \"127.0.0.1:8080\"", "\"caller\": \"localhost\""));

        assertThat(problems.get(0))
                .contains("listen.caller: 'localhost' is not an address; write an IP address and a port");
    }

    @Test
    void reportsInvalidJson() {
        assertThat(problems("{ \"system\": ").get(0)).contains("is not valid JSON with comments");
        assertThat(problems("").get(0)).contains("the file is empty");
        assertThat(problems("[]").get(0)).contains("is a list; write an object");
    }

    @Test
    void reportsUnreadableSecretFile() throws IOException {
        List<String> problems = problems(nordvik().replace("admin.token", "no-such.token"));

        assertThat(problems.get(0)).contains("admin.tokenFile");
        assertThat(problems.get(0)).contains("can't be read");
    }
}
