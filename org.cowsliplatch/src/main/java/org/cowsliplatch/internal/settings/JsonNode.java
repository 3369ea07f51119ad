package org.cowsliplatch.internal.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A JSON value and its line in the file. */
sealed interface JsonNode {
    /** Returns the line number, starting at 1. */
    int line();

    /** Returns the type of the value as it is named in messages. */
    String kind();

    /** An object, with its fields in file order. */
    record Fields(int line, Map<String, JsonNode> fields) implements JsonNode {
        @Override
        public String kind() {
            return "an object";
        }
    }

    /** An array. */
    record Array(int line, List<JsonNode> items) implements JsonNode {
        @Override
        public String kind() {
            return "a list";
        }
    }

    /** A string. */
    record Text(int line, String text) implements JsonNode {
        @Override
        public String kind() {
            return "a string";
        }
    }

    /** A number. */
    record Numeric(int line, double value) implements JsonNode {
        @Override
        public String kind() {
            return "a number";
        }
    }

    /** True, false or null. */
    record Literal(int line, String literal) implements JsonNode {
        @Override
        public String kind() {
            return literal;
        }
    }

    /** Parser for JSON with comments and trailing commas. */
    final class Reader {
        private static final JsonFactory FACTORY = JsonFactory.builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .build();

        private Reader() {}

        /**
         * Parses one value.
         *
         * @throws IOException if the text is not valid JSON; the message names the line
         */
        static JsonNode read(String text) throws IOException {
            try (JsonParser parser = FACTORY.createParser(text)) {
                JsonNode node = node(parser, parser.nextToken());
                if (parser.nextToken() != null) {
                    throw new IOException("unexpected text after the end of the settings at line "
                            + parser.currentTokenLocation().getLineNr());
                }
                return node;
            }
        }

        private static JsonNode node(JsonParser parser, @Nullable JsonToken token) throws IOException {
            int line = parser.currentTokenLocation().getLineNr();
            if (token == null) {
                throw new IOException("the file is empty");
            }
            switch (token) {
                case START_OBJECT -> {
                    Map<String, JsonNode> fields = new LinkedHashMap<>();
                    while (parser.nextToken() != JsonToken.END_OBJECT) {
                        String name = parser.currentName();
                        fields.put(name, node(parser, parser.nextToken()));
                    }
                    return new Fields(line, fields);
                }
                case START_ARRAY -> {
                    List<JsonNode> items = new ArrayList<>();
                    JsonToken next = parser.nextToken();
                    while (next != JsonToken.END_ARRAY) {
                        items.add(node(parser, next));
                        next = parser.nextToken();
                    }
                    return new Array(line, items);
                }
                case VALUE_STRING -> {
                    return new Text(line, parser.getText());
                }
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                    return new Numeric(line, parser.getDoubleValue());
                }
                default -> {
                    return new Literal(line, parser.getText());
                }
            }
        }
    }
}
