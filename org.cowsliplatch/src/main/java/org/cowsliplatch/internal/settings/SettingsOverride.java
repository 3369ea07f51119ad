package org.cowsliplatch.internal.settings;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.errors.SettingsInvalidException;

/**
 * A value that replaces one of the settings file.
 *
 * @param path names of the sections and of the field
 * @param value new value
 */
record SettingsOverride(List<String> path, JsonNode value) {
    /** Line that messages name for a value that is not in the file. */
    private static final int NO_LINE = 0;

    /**
     * Parses an assignment, such as {@code bounds.leavingSeconds=2.5}; the value is JSON. An empty value, which a template
     * leaves for a name that the platform does not know, replaces nothing.
     *
     * @throws SettingsInvalidException if it is malformed
     */
    static Optional<SettingsOverride> parse(String assignment) throws SettingsInvalidException {
        int separator = assignment.indexOf('=');
        if (separator <= 0) {
            throw invalid(assignment, "has no name before '='; write SECTION.FIELD=VALUE");
        }
        List<String> path = Arrays.asList(assignment.substring(0, separator).split("\\.", -1));
        if (path.contains("")) {
            throw invalid(assignment, "has an empty name; write SECTION.FIELD=VALUE");
        }
        String text = assignment.substring(separator + 1);
        if (text.isBlank()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new SettingsOverride(path, JsonNode.Reader.read(text)));
        } catch (IOException e) {
            throw invalid(assignment, "has a value that is not JSON: " + e.getMessage());
        }
    }

    /** Returns the settings with this value; sections that are missing are added. */
    JsonNode applyTo(JsonNode root) {
        return replace(root, path);
    }

    private JsonNode replace(JsonNode node, List<String> rest) {
        if (rest.isEmpty()) {
            return value;
        }
        Map<String, JsonNode> fields = new LinkedHashMap<>();
        if (node instanceof JsonNode.Fields object) {
            fields.putAll(object.fields());
        }
        JsonNode before = fields.getOrDefault(rest.get(0), new JsonNode.Fields(NO_LINE, Map.of()));
        fields.put(rest.get(0), replace(before, rest.subList(1, rest.size())));
        return new JsonNode.Fields(node.line(), fields);
    }

    private static SettingsInvalidException invalid(String assignment, String problem) {
        return new SettingsInvalidException(List.of("--set " + assignment + ": " + problem));
    }
}
