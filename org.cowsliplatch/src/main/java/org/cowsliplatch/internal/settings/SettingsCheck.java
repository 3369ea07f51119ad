package org.cowsliplatch.internal.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.settings.Settings;

/** Parses and validates the settings file of an entry instance. */
public final class SettingsCheck {
    private static final long MAX_MBIT = 1_000_000;
    private static final long BITS_PER_MBIT = 1_000_000;
    private static final long BYTES_PER_KB = 1024;
    private static final long BYTES_PER_MB = 1024 * 1024;
    private static final int MIN_TOKEN_LENGTH = 16;
    private static final Set<String> LOG_LEVELS = Set.of("debug", "info", "warn", "error");

    private final Path file;
    private final List<SettingsSection.Problem> problems = new ArrayList<>();

    private SettingsCheck(Path file) {
        this.file = file;
    }

    /**
     * Parses and validates settings as a whole.
     *
     * @param text content of the file
     * @param file path for messages and for relative paths
     * @throws SettingsInvalidException if any rule is broken; lists every problem
     */
    public static Settings parse(String text, Path file) throws SettingsInvalidException {
        return new SettingsCheck(file).check(text);
    }

    private Settings check(String text) throws SettingsInvalidException {
        JsonNode root;
        try {
            root = JsonNode.Reader.read(text);
        } catch (IOException e) {
            String reason = e.getMessage();
            throw new SettingsInvalidException(
                    List.of(file + ": is not valid JSON with comments: " + reason + "; correct the syntax there"));
        }
        SettingsSection section = new SettingsSection(file.toString(), "", root, problems);
        Settings settings = settings(section);
        section.reportUnknown();
        if (!problems.isEmpty()) {
            throw new SettingsInvalidException(problems.stream()
                    .sorted(Comparator.comparingInt(SettingsSection.Problem::line))
                    .map(SettingsSection.Problem::text)
                    .toList());
        }
        return settings;
    }

    private Settings settings(SettingsSection root) {
        SortedMap<String, List<String>> regions = regions(root);
        SettingsSection instance = root.section("instance");
        String name = instance.name("name");
        String region = instance.name("region", regions.keySet());
        List<String> zones = regions.getOrDefault(region, List.of());
        String zone = zones.isEmpty() ? instance.name("zone") : instance.name("zone", Set.copyOf(zones));
        instance.reportUnknown();
        return new Settings(
                root.name("system"),
                name,
                region,
                zone,
                listen(root.section("listen")),
                regions,
                links(root, regions.keySet()),
                delays(root.section("delays")),
                platform(root.section("platform")),
                (int) root.number("mostEntries", 1, 1_000, 12),
                root.addresses("seeds"),
                admin(root.section("admin")),
                telemetry(root.optionalSection("telemetry")),
                limits(root.optionalSection("limits")));
    }

    private static SortedMap<String, List<String>> regions(SettingsSection root) {
        SortedMap<String, List<String>> regions = new TreeMap<>();
        Map<String, String> regionOfZone = new HashMap<>();
        for (SettingsSection section : root.sections("regions")) {
            String name = section.name("name");
            List<String> zones = section.names("zones");
            section.reportUnknown();
            if (zones.isEmpty()) {
                section.problem("zones", "has no availability zone", "list at least one");
            }
            if (regions.put(name, zones) != null) {
                section.problem("name", "region '" + name + "' is defined twice", "give each region its own name");
            }
            for (String zone : zones) {
                String other = regionOfZone.put(zone, name);
                if (other != null) {
                    section.problem("zones", "availability zone '" + zone + "' is listed twice", "list it once");
                }
            }
        }
        return regions;
    }

    private static List<Settings.Link> links(SettingsSection root, Set<String> regions) {
        Map<String, Settings.Link> links = new TreeMap<>();
        for (SettingsSection section : root.sections("links")) {
            String a = section.name("a", regions);
            String b = section.name("b", regions);
            long cap = section.requiredNumber("mbitEachWay", 1, MAX_MBIT) * BITS_PER_MBIT;
            section.reportUnknown();
            if (a.equals(b)) {
                section.problem("b", "a link from '" + a + "' to itself", "name two regions");
            }
            if (links.put(a + " " + b, new Settings.Link(a, b, cap)) != null
                    || links.put(b + " " + a, new Settings.Link(b, a, cap)) != null) {
                section.problem("a", "the link of " + a + " and " + b + " is defined twice", "keep one");
            }
        }
        List<String> names = new ArrayList<>(regions);
        for (int i = 0; i < names.size(); i++) {
            for (int j = i + 1; j < names.size(); j++) {
                if (!links.containsKey(names.get(i) + " " + names.get(j))) {
                    root.problem(
                            "links",
                            "there is no link of " + names.get(i) + " and " + names.get(j),
                            "add { \"a\": \"" + names.get(i) + "\", \"b\": \"" + names.get(j)
                                    + "\", \"mbitEachWay\": … }");
                }
            }
        }
        return List.copyOf(links.values());
    }

    private static Settings.Listen listen(SettingsSection section) {
        InetSocketAddress caller = section.address("caller");
        InetSocketAddress peer = section.address("peer");
        InetSocketAddress admin = section.address("admin");
        section.reportUnknown();
        checkClash(section, "peer", peer, "caller", caller);
        checkClash(section, "admin", admin, "caller", caller);
        checkClash(section, "admin", admin, "peer", peer);
        return new Settings.Listen(caller, peer, admin);
    }

    private static void checkClash(
            SettingsSection section, String name, InetSocketAddress a, String other, InetSocketAddress b) {
        boolean sameHost = a.getAddress().equals(b.getAddress())
                || a.getAddress().isAnyLocalAddress()
                || b.getAddress().isAnyLocalAddress();
        if (a.getPort() != 0 && a.getPort() == b.getPort() && sameHost) {
            section.problem(name, Addresses.text(a) + " clashes with listen." + other, "choose another port");
        }
    }

    private static Settings.Delays delays(SettingsSection section) {
        Settings.Delays delays = new Settings.Delays(
                section.millis("zoneMs", 0, 1_000, 0.5),
                section.millis("regionMs", 0, 10_000, 20),
                section.millis("callerMs", 0, 10_000, 8));
        section.reportUnknown();
        return delays;
    }

    private static Settings.Platform platform(SettingsSection section) {
        URI tables = section.uri("tableService");
        URI objects = section.uri("objectStore");
        URI instances = section.uri("instanceList");
        URI measurements = section.uri("measurements");
        String service = section.name("entryService");
        Duration timeout = section.millis("timeoutMs", 10, 60_000, 1_000);
        section.reportUnknown();
        return new Settings.Platform(tables, objects, instances, measurements, service, timeout);
    }

    private Settings.Admin admin(SettingsSection section) {
        String token = secret(section, "tokenFile");
        if (!token.isEmpty() && token.length() < MIN_TOKEN_LENGTH) {
            section.problem("tokenFile", "the token is too short", "use at least " + MIN_TOKEN_LENGTH + " characters");
        }
        Optional<Settings.KeyStoreFile> keyStore =
                section.optionalSection("keyStore").map(this::keyStore);
        section.reportUnknown();
        return new Settings.Admin(token, keyStore);
    }

    private Settings.KeyStoreFile keyStore(SettingsSection section) {
        Path path = resolve(section.text("file"));
        if (!Files.isReadable(path)) {
            section.problem("file", path + " can't be read", "name a readable PKCS #12 key store");
        }
        String password = secret(section, "passwordFile");
        section.reportUnknown();
        return new Settings.KeyStoreFile(path, password);
    }

    private String secret(SettingsSection section, String name) {
        String text = section.text(name);
        if (text.isEmpty()) {
            return "";
        }
        Path path = resolve(text);
        try {
            return Files.readString(path).trim();
        } catch (IOException e) {
            section.problem(name, path + " can't be read", "write the secret to that file, or name another file");
            return "";
        }
    }

    private Path resolve(String text) {
        Path parent = file.toAbsolutePath().getParent();
        return parent == null ? Path.of(text) : parent.resolve(text);
    }

    private static Settings.Telemetry telemetry(Optional<SettingsSection> optional) {
        if (optional.isEmpty()) {
            return new Settings.Telemetry("info", Optional.empty());
        }
        SettingsSection section = optional.get();
        String level = section.optionalText("logLevel").orElse("info");
        if (!LOG_LEVELS.contains(level)) {
            section.problem("logLevel", "unknown level '" + level + "'", "write debug, info, warn or error");
        }
        Optional<URI> otlp = section.optionalUri("otlp");
        section.reportUnknown();
        return new Settings.Telemetry(level, otlp);
    }

    private static Settings.Limits limits(Optional<SettingsSection> optional) {
        if (optional.isEmpty()) {
            return new Settings.Limits(
                    (int) (16 * BYTES_PER_KB),
                    256 * BYTES_PER_MB,
                    32 * BYTES_PER_MB,
                    Duration.ofSeconds(5),
                    Duration.ofMinutes(2));
        }
        SettingsSection section = optional.get();
        Settings.Limits limits = new Settings.Limits(
                (int) (section.number("headerKb", 1, 256, 16) * BYTES_PER_KB),
                section.number("bodyMb", 1, 4096, 256) * BYTES_PER_MB,
                section.number("keyRecordMb", 1, 1024, 32) * BYTES_PER_MB,
                section.millis("lookupTtlMs", 100, 600_000, 5_000),
                section.millis("stopMs", 0, 3_600_000, 120_000));
        section.reportUnknown();
        return limits;
    }
}
