package org.cowsliplatch.internal.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.ClosestMatch;
import org.jspecify.annotations.Nullable;

/** Typed access to one object of the settings. An invalid field is recorded as a problem, and parsing continues. */
final class SettingsSection {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final InetSocketAddress PLACEHOLDER_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final URI PLACEHOLDER_URI = URI.create("http://127.0.0.1:9");

    private final String file;
    private final String path;
    private final int line;
    private final Map<String, JsonNode> fields;
    private final List<Problem> problems;
    private final Set<String> requestedNames = new TreeSet<>();

    /** A problem and its line, by which problems are sorted before they are reported. */
    record Problem(int line, String text) {}

    SettingsSection(String file, String path, JsonNode node, List<Problem> problems) {
        this.file = file;
        this.path = path;
        this.line = node.line();
        this.problems = problems;
        if (node instanceof JsonNode.Fields object) {
            this.fields = object.fields();
            return;
        }
        this.fields = Map.of();
        problem(node.line(), "", "is " + node.kind(), "write an object: { … }");
    }

    /** Returns a section; records a problem and returns an empty section if it is missing. */
    SettingsSection section(String name) {
        JsonNode node = required(name, "add the section \"" + name + "\": { … }");
        JsonNode present = node == null ? new JsonNode.Fields(line, Map.of()) : node;
        return new SettingsSection(file, pathOf(name), present, problems);
    }

    /** Returns a section, or empty if it is missing. */
    Optional<SettingsSection> optionalSection(String name) {
        JsonNode node = optional(name);
        return node == null ? Optional.empty() : Optional.of(new SettingsSection(file, pathOf(name), node, problems));
    }

    /** Returns a list of sections. */
    List<SettingsSection> sections(String name) {
        List<SettingsSection> sections = new ArrayList<>();
        for (JsonNode item : items(name, true)) {
            sections.add(new SettingsSection(file, pathOf(name) + "[" + sections.size() + "]", item, problems));
        }
        return sections;
    }

    /** Returns a list of names. */
    List<String> names(String name) {
        List<String> names = new ArrayList<>();
        for (JsonNode item : items(name, true)) {
            names.add(checkedName(name, item));
        }
        return names;
    }

    /** Returns a list of addresses, empty if it is missing. */
    List<InetSocketAddress> addresses(String name) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode item : items(name, false)) {
            addresses.add(checkedAddress(name, item));
        }
        return addresses;
    }

    String name(String name) {
        JsonNode node = required(name, "add \"" + name + "\": \"…\"");
        return node == null ? "" : checkedName(name, node);
    }

    /** Returns a name that must be one of the known names. */
    String name(String name, Set<String> known) {
        String text = name(name);
        if (!text.isEmpty() && !known.contains(text)) {
            String closest = ClosestMatch.find(text, known);
            problem(
                    lineOf(name),
                    name,
                    "there is no '" + text + "'",
                    closest == null ? "list it first" : "did you mean \"" + closest + "\"?");
        }
        return text;
    }

    String text(String name) {
        JsonNode node = required(name, "add \"" + name + "\": \"…\"");
        if (node == null) {
            return "";
        }
        return checkedText(name, node);
    }

    Optional<String> optionalText(String name) {
        JsonNode node = optional(name);
        return node == null ? Optional.empty() : Optional.of(checkedText(name, node));
    }

    InetSocketAddress address(String name) {
        JsonNode node = required(name, "add \"" + name + "\": \"10.0.0.7:8080\"");
        return node == null ? PLACEHOLDER_ADDRESS : checkedAddress(name, node);
    }

    URI uri(String name) {
        JsonNode node = required(name, "add \"" + name + "\": \"http://10.0.0.9:7000\"");
        return node == null ? PLACEHOLDER_URI : checkedUri(name, node);
    }

    Optional<URI> optionalUri(String name) {
        JsonNode node = optional(name);
        return node == null ? Optional.empty() : Optional.of(checkedUri(name, node));
    }

    /** Returns an integer within bounds, or the default value if it is missing. */
    long number(String name, long min, long max, long defaultValue) {
        JsonNode node = optional(name);
        if (node == null) {
            return defaultValue;
        }
        double value = checkedNumber(name, node, (double) min, (double) max);
        if (value != Math.rint(value)) {
            problem(node.line(), name, value + " is not an integer", "write an integer");
        }
        return (long) value;
    }

    /** Returns an integer within bounds; records a problem if it is missing. */
    long requiredNumber(String name, long min, long max) {
        required(name, "add \"" + name + "\": a number of " + min + " to " + max);
        return number(name, min, max, min);
    }

    /** Returns a duration given in milliseconds, fractions allowed, or the default value if it is missing. */
    Duration millis(String name, double min, double max, double defaultValue) {
        JsonNode node = optional(name);
        double value = node == null ? defaultValue : checkedNumber(name, node, min, max);
        return Duration.ofNanos((long) (value * 1e6));
    }

    /** Returns a number within bounds, fractions allowed, or the default value if it is missing. */
    double fraction(String name, double min, double max, double defaultValue) {
        JsonNode node = optional(name);
        return node == null ? defaultValue : checkedNumber(name, node, min, max);
    }

    /** Returns the strings in an object, by field name. */
    Map<String, String> textsByName(String name) {
        Map<String, String> texts = new TreeMap<>();
        JsonNode node = required(name, "add \"" + name + "\": { \"…\": \"…\" }");
        if (node instanceof JsonNode.Fields object) {
            object.fields().forEach((key, value) -> texts.put(key, checkedText(name + "." + key, value)));
        } else if (node != null) {
            problem(node.line(), name, "is " + node.kind(), "write an object: { … }");
        }
        return texts;
    }

    /** Records a problem for each field that was not read. */
    void reportUnknown() {
        for (Map.Entry<String, JsonNode> field : fields.entrySet()) {
            if (!requestedNames.contains(field.getKey())) {
                problem(
                        field.getValue().line(),
                        field.getKey(),
                        "unknown name",
                        "did you mean \"" + ClosestMatch.find(field.getKey(), requestedNames) + "\"?");
            }
        }
    }

    /** Records a problem with a field of this section. */
    void problem(String name, String what, String remedy) {
        problem(lineOf(name), name, what, remedy);
    }

    private int lineOf(String name) {
        JsonNode node = fields.get(name);
        return node == null ? line : node.line();
    }

    private void problem(int at, String name, String what, String remedy) {
        String field = name.isEmpty() ? path : pathOf(name);
        problems.add(new Problem(at, file + ":" + at + ": " + field + ": " + what + "; " + remedy));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private @Nullable JsonNode optional(String name) {
        requestedNames.add(name);
        return fields.get(name);
    }

    private @Nullable JsonNode required(String name, String remedy) {
        JsonNode node = optional(name);
        if (node == null) {
            problem(line, name, "is missing", remedy);
        }
        return node;
    }

    private List<JsonNode> items(String name, boolean required) {
        JsonNode node = required ? required(name, "add \"" + name + "\": [ … ]") : optional(name);
        if (node == null) {
            return List.of();
        }
        if (node instanceof JsonNode.Array list) {
            return list.items();
        }
        problem(node.line(), name, "is " + node.kind(), "write a list: [ … ]");
        return List.of();
    }

    private String checkedText(String name, JsonNode node) {
        if (node instanceof JsonNode.Text text && !text.text().isBlank()) {
            return text.text();
        }
        String what = node instanceof JsonNode.Text ? "is empty" : "is " + node.kind();
        problem(node.line(), name, what, "write a string in quotes");
        return "";
    }

    private String checkedName(String name, JsonNode node) {
        String text = checkedText(name, node);
        if (!text.isEmpty() && !NAME.matcher(text).matches()) {
            problem(
                    node.line(),
                    name,
                    "'" + text + "' is not allowed",
                    "write lower-case letters, digits and hyphens, at most 63");
        }
        return text;
    }

    private InetSocketAddress checkedAddress(String name, JsonNode node) {
        String text = checkedText(name, node);
        Optional<InetSocketAddress> address = Addresses.parse(text);
        if (address.isEmpty() && !text.isEmpty()) {
            problem(
                    node.line(),
                    name,
                    "'" + text + "' is not an address",
                    "write an IP address and a port, such as 10.0.0.7:8080");
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    private URI checkedUri(String name, JsonNode node) {
        String text = checkedText(name, node);
        if (text.isEmpty()) {
            return PLACEHOLDER_URI;
        }
        try {
            URI uri = new URI(text);
            String scheme = uri.getScheme();
            boolean http = "http".equals(scheme) || "https".equals(scheme);
            if (http && uri.getHost() != null) {
                return uri;
            }
        } catch (URISyntaxException e) {
            // Reported below like any other invalid address.
        }
        problem(
                node.line(),
                name,
                "'" + text + "' is not an HTTP address",
                "write an address such as http://10.0.0.9:7000");
        return PLACEHOLDER_URI;
    }

    private double checkedNumber(String name, JsonNode node, double min, double max) {
        if (!(node instanceof JsonNode.Numeric number)) {
            problem(node.line(), name, "is " + node.kind(), "write a number without quotes");
            return min;
        }
        double value = number.value();
        if (value < min || value > max) {
            double closest = Math.max(min, Math.min(max, value));
            problem(
                    node.line(),
                    name,
                    format(value) + " is out of range",
                    "the nearest allowed value is " + format(closest));
        }
        return value;
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
