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

/** A JSON value together with the line it stands in. */
sealed interface JsonNode {
    /** Returns the line, counted from 1. */
    int line();

    /** Returns the kind of value as a word for a person. */
    String kind();

    /** An object; fields in file order. */
    record Fields(int line, Map<String, JsonNode> fields) implements JsonNode {
        @Override
        public String kind() {
            return "an object";
        }
    }

    /** A list. */
    record Items(int line, List<JsonNode> items) implements JsonNode {
        @Override
        public String kind() {
            return "a list";
        }
    }

    /** A text. */
    record Text(int line, String text) implements JsonNode {
        @Override
        public String kind() {
            return "a text";
        }
    }

    /** A number. */
    record Figure(int line, double value) implements JsonNode {
        @Override
        public String kind() {
            return "a number";
        }
    }

    /** True, false or null. */
    record Word(int line, String word) implements JsonNode {
        @Override
        public String kind() {
            return word;
        }
    }

    /** Reader of JSON with comments and trailing commas. */
    final class Reader {
        private static final JsonFactory FACTORY = JsonFactory.builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .build();

        private Reader() {}

        /**
         * Reads one value.
         *
         * @throws IOException if the text is no JSON; the message has the line
         */
        static JsonNode read(String text) throws IOException {
            try (JsonParser parser = FACTORY.createParser(text)) {
                JsonNode node = node(parser, parser.nextToken());
                if (parser.nextToken() != null) {
                    throw new IOException("text after the end of the settings at line "
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
                    return new Items(line, items);
                }
                case VALUE_STRING -> {
                    return new Text(line, parser.getText());
                }
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                    return new Figure(line, parser.getDoubleValue());
                }
                default -> {
                    return new Word(line, parser.getText());
                }
            }
        }
    }
}
