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

/** Typed access to one object of the settings; each wrong field becomes a problem, and reading goes on. */
final class SettingsSection {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final URI NOWHERE = URI.create("http://127.0.0.1:9");

    private final String file;
    private final String path;
    private final int line;
    private final Map<String, JsonNode> fields;
    private final List<Problem> problems;
    private final Set<String> asked = new TreeSet<>();

    /** One problem with its line, so that all can be told in file order. */
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

    /** Returns the section under a name; an empty one if it is missing. */
    SettingsSection section(String name) {
        JsonNode node = required(name, "add the section \"" + name + "\": { … }");
        JsonNode present = node == null ? new JsonNode.Fields(line, Map.of()) : node;
        return new SettingsSection(file, pathOf(name), present, problems);
    }

    /** Returns the section under a name, or empty if it is missing. */
    Optional<SettingsSection> optionalSection(String name) {
        JsonNode node = optional(name);
        return node == null ? Optional.empty() : Optional.of(new SettingsSection(file, pathOf(name), node, problems));
    }

    /** Returns the sections in the list under a name. */
    List<SettingsSection> sections(String name) {
        List<SettingsSection> sections = new ArrayList<>();
        for (JsonNode item : items(name, true)) {
            sections.add(new SettingsSection(file, pathOf(name) + "[" + sections.size() + "]", item, problems));
        }
        return sections;
    }

    /** Returns the names in the list under a name. */
    List<String> names(String name) {
        List<String> names = new ArrayList<>();
        for (JsonNode item : items(name, true)) {
            names.add(checkedName(name, item));
        }
        return names;
    }

    /** Returns the addresses in the list under a name; none if it is missing. */
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

    /** Returns a name that must be one of those given. */
    String name(String name, Set<String> known) {
        String text = name(name);
        if (!text.isEmpty() && !known.contains(text)) {
            String near = ClosestMatch.find(text, known);
            problem(
                    lineOf(name),
                    name,
                    "there is no '" + text + "'",
                    near == null ? "list it first" : "did you mean \"" + near + "\"?");
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
        return node == null ? ANY : checkedAddress(name, node);
    }

    URI uri(String name) {
        JsonNode node = required(name, "add \"" + name + "\": \"http://10.0.0.9:7000\"");
        return node == null ? NOWHERE : checkedUri(name, node);
    }

    Optional<URI> optionalUri(String name) {
        JsonNode node = optional(name);
        return node == null ? Optional.empty() : Optional.of(checkedUri(name, node));
    }

    /** Returns a whole number within bounds, or the default if it is missing. */
    long number(String name, long least, long most, long defaultValue) {
        JsonNode node = optional(name);
        if (node == null) {
            return defaultValue;
        }
        double value = checkedNumber(name, node, (double) least, (double) most);
        if (value != Math.rint(value)) {
            problem(node.line(), name, value + " is no whole number", "write a whole number");
        }
        return (long) value;
    }

    /** Returns a whole number within bounds. */
    long requiredNumber(String name, long least, long most) {
        required(name, "add \"" + name + "\": a number of " + least + " to " + most);
        return number(name, least, most, least);
    }

    /** Returns a duration from a number of milliseconds, fractions allowed. */
    Duration millis(String name, double least, double most, double defaultValue) {
        JsonNode node = optional(name);
        double value = node == null ? defaultValue : checkedNumber(name, node, least, most);
        return Duration.ofNanos((long) (value * 1e6));
    }

    /** Returns a number within bounds, fractions allowed, or the default if it is missing. */
    double fraction(String name, double least, double most, double defaultValue) {
        JsonNode node = optional(name);
        return node == null ? defaultValue : checkedNumber(name, node, least, most);
    }

    /** Returns the texts in the object under a name, by their own names. */
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

    /** Notes fields that nothing asked for. */
    void refuseUnknown() {
        for (Map.Entry<String, JsonNode> field : fields.entrySet()) {
            if (!asked.contains(field.getKey())) {
                problem(
                        field.getValue().line(),
                        field.getKey(),
                        "unknown name",
                        "did you mean \"" + ClosestMatch.find(field.getKey(), asked) + "\"?");
            }
        }
    }

    /** Notes a problem with a field of this section. */
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
        asked.add(name);
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
        if (node instanceof JsonNode.Items list) {
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
        problem(node.line(), name, what, "write a text in quotes");
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
                    "'" + text + "' is no address",
                    "write an IP number and a port, such as 10.0.0.7:8080");
        }
        return address.orElse(ANY);
    }

    private URI checkedUri(String name, JsonNode node) {
        String text = checkedText(name, node);
        if (text.isEmpty()) {
            return NOWHERE;
        }
        try {
            URI uri = new URI(text);
            String scheme = uri.getScheme();
            boolean http = "http".equals(scheme) || "https".equals(scheme);
            if (http && uri.getHost() != null) {
                return uri;
            }
        } catch (URISyntaxException e) {
            // Reported below, as any other text that is no address.
        }
        problem(
                node.line(),
                name,
                "'" + text + "' is no HTTP address",
                "write an address such as http://10.0.0.9:7000");
        return NOWHERE;
    }

    private double checkedNumber(String name, JsonNode node, double least, double most) {
        if (!(node instanceof JsonNode.Figure number)) {
            problem(node.line(), name, "is " + node.kind(), "write a number without quotes");
            return least;
        }
        double value = number.value();
        if (value < least || value > most) {
            double near = Math.max(least, Math.min(most, value));
            problem(
                    node.line(),
                    name,
                    plain(value) + " is out of range",
                    "the nearest allowed value is " + plain(near));
        }
        return value;
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
