package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.internal.settings.DeploymentCheck;
import org.cowsliplatch.settings.DeploymentSettings;
import org.junit.jupiter.api.Test;

/** Tests the settings of an entry instance on a platform with a row store, and values that replace those of the file. */
final class DeploymentSettingsTest {
    private static final String FILE = """
            {"instance": {"name": "e", "region": "r", "zone": "z"}, "zones": {"z": "r"},
             "listen": {"caller": "127.0.0.1:1", "ready": "127.0.0.1:2", "directory": "127.0.0.1:3",
                        "peer": "127.0.0.1:4", "metrics": "127.0.0.1:5"},
             "store": "127.0.0.1:6", "repeats": {}%s}
            """;

    private static DeploymentSettings parse(String more, String... assignments) throws SettingsInvalidException {
        return DeploymentCheck.parse(FILE.formatted(more), Path.of("f.json"), List.of(assignments));
    }

    private static String problem(String more, String... assignments) {
        return assertThrows(SettingsInvalidException.class, () -> parse(more, assignments))
                .problems()
                .get(0);
    }

    @Test
    void strictestBoundIsTheShortestOfTheDeployment() throws Exception {
        assertThat(parse("").bounds().strictest()).isEqualTo(Duration.ofMillis(2_500));
        assertThat(parse(", \"bounds\": {\"contactSeconds\": 1.5}").bounds().strictest())
                .isEqualTo(Duration.ofMillis(1_500));
    }

    @Test
    void assignmentReplacesTheValueOfTheFile() throws Exception {
        DeploymentSettings settings = parse(
                ", \"bounds\": {\"leavingSeconds\": 3, \"contactSeconds\": 5}",
                "bounds.leavingSeconds=4",
                "bounds.configurationSeconds=6.5",
                "bounds.contactSeconds=");

        assertThat(settings.bounds())
                .isEqualTo(new DeploymentSettings.Bounds(
                        Duration.ofMillis(6_500), Duration.ofSeconds(4), Duration.ofSeconds(5)));
    }

    @Test
    void malformedAssignmentsAreRefusedWithARemedy() {
        assertThat(problem("", "=4")).contains("--set =4: has no name before '='; write SECTION.FIELD=VALUE");
        assertThat(problem("", "bounds")).contains("has no name before '='");
        assertThat(problem("", "bounds..x=4")).contains("has an empty name");
        assertThat(problem("", "bounds.leavingSeconds=4 s")).contains("has a value that is not JSON");
        assertThat(problem("", "bounds.leavingSeconds=\"4\"")).contains("bounds.leavingSeconds: is a string");
        assertThat(problem("", "bounds.leavingSecond=4")).contains("did you mean \"leavingSeconds\"?");
        assertThat(problem("", "bounds.leavingSeconds=0")).contains("bounds.leavingSeconds");
    }
}
