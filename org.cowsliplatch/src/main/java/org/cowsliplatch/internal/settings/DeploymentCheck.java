package org.cowsliplatch.internal.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.settings.DeploymentSettings;

/** Parses and validates the settings file of an entry instance on a platform with a row store. */
public final class DeploymentCheck {
    /** Default TTL of directory answers: short, so that callers soon stop using an instance that failed. */
    private static final double LOOKUP_TTL_S = 2;

    /** Default of the minimum number of entry instances that share the slack: as many as the users run today. */
    private static final int MIN_SHARERS = 12;

    private DeploymentCheck() {}

    /**
     * Parses and validates settings as a whole.
     *
     * @param text content of the file
     * @param file path for messages
     * @throws SettingsInvalidException if any rule is broken; lists every problem
     */
    public static DeploymentSettings parse(String text, Path file) throws SettingsInvalidException {
        JsonNode root;
        try {
            root = JsonNode.Reader.read(text);
        } catch (IOException e) {
            throw new SettingsInvalidException(List.of(
                    file + ": is not valid JSON with comments: " + e.getMessage() + "; correct the syntax there"));
        }
        List<SettingsSection.Problem> problems = new ArrayList<>();
        DeploymentSettings settings = settings(new SettingsSection(file.toString(), "", root, problems));
        if (!problems.isEmpty()) {
            throw new SettingsInvalidException(problems.stream()
                    .sorted(Comparator.comparingInt(SettingsSection.Problem::line))
                    .map(SettingsSection.Problem::text)
                    .toList());
        }
        return settings;
    }

    private static DeploymentSettings settings(SettingsSection root) {
        Map<String, String> regionOfZone = root.textsByName("zones");
        SettingsSection instance = root.section("instance");
        String name = instance.text("name");
        String region = instance.text("region");
        String zone = instance.text("zone");
        instance.reportUnknown();
        SettingsSection listen = root.section("listen");
        DeploymentSettings.Listen addresses = new DeploymentSettings.Listen(
                listen.address("caller"),
                listen.address("ready"),
                listen.address("directory"),
                listen.address("peer"),
                listen.address("metrics"));
        listen.reportUnknown();
        DeploymentSettings settings = new DeploymentSettings(
                name,
                region,
                zone,
                new TreeMap<>(regionOfZone),
                addresses,
                root.address("store"),
                seconds(root, "stopSeconds", 6),
                seconds(root, "lookupTtlSeconds", LOOKUP_TTL_S),
                repeats(root.section("repeats")));
        root.reportUnknown();
        return settings;
    }

    private static DeploymentSettings.Repeats repeats(SettingsSection section) {
        DeploymentSettings.Repeats repeats = new DeploymentSettings.Repeats(
                section.fraction("perRequest", 0, 1, 0.1), section.fraction("slack", 0, 1_000_000, 10), (int)
                        section.number("sharers", 1, 10_000, MIN_SHARERS));
        section.reportUnknown();
        return repeats;
    }

    private static Duration seconds(SettingsSection section, String name, double defaultValue) {
        double value = section.fraction(name, 0.1, 600, defaultValue);
        return Duration.ofNanos((long) (value * 1e9));
    }
}
