package org.cowsliplatch.internal.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.settings.DeploymentSettings;

/** Parses and validates the settings file of an entry instance on a platform with a row store. */
public final class DeploymentCheck {
    /** Default TTL of directory answers: short, so that callers soon stop using an instance that failed. */
    private static final double LOOKUP_TTL_S = 2;

    /** Default of the minimum number of entry instances that share the slack: as many as the users run today. */
    private static final int MIN_SHARERS = 12;

    /** Default of the bounds on configurations and leaving servers. */
    private static final double APPLY_S = 2.5;

    private static final double CONTACT_S = 3;
    private static final double MIN_SECONDS = 0.1;
    private static final DeploymentSettings.Bounds DEFAULT_BOUNDS =
            new DeploymentSettings.Bounds(duration(APPLY_S), duration(APPLY_S), duration(CONTACT_S));

    private DeploymentCheck() {}

    /**
     * Parses and validates settings as a whole.
     *
     * @param text content of the file
     * @param file path for messages
     * @param assignments values that replace those of the file, such as {@code bounds.leavingSeconds=2.5}
     * @throws SettingsInvalidException if any rule is broken; lists every problem
     */
    public static DeploymentSettings parse(String text, Path file, List<String> assignments)
            throws SettingsInvalidException {
        JsonNode root;
        try {
            root = JsonNode.Reader.read(text);
        } catch (IOException e) {
            throw new SettingsInvalidException(List.of(
                    file + ": is not valid JSON with comments: " + e.getMessage() + "; correct the syntax there"));
        }
        for (String assignment : assignments) {
            Optional<SettingsOverride> override = SettingsOverride.parse(assignment);
            root = override.isPresent() ? override.get().applyTo(root) : root;
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
                repeats(root.section("repeats")),
                root.optionalSection("bounds").map(DeploymentCheck::bounds).orElse(DEFAULT_BOUNDS));
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

    private static DeploymentSettings.Bounds bounds(SettingsSection section) {
        DeploymentSettings.Bounds bounds = new DeploymentSettings.Bounds(
                seconds(section, "configurationSeconds", APPLY_S),
                seconds(section, "leavingSeconds", APPLY_S),
                seconds(section, "contactSeconds", CONTACT_S));
        section.reportUnknown();
        return bounds;
    }

    private static Duration seconds(SettingsSection section, String name, double defaultValue) {
        // A value out of range is reported, and the settings are not used.
        return duration(Math.max(MIN_SECONDS, section.fraction(name, MIN_SECONDS, 600, defaultValue)));
    }

    private static Duration duration(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }
}
