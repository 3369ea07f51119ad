package org.cowsliplatch.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.cowsliplatch.internal.util.Json;

/**
 * One line of an entry instance's log.
 *
 * @param time when it was written, on the instance's clock
 * @param instance name of the entry instance, empty for lines of libraries
 * @param event what happened
 * @param fields all fields of the line
 */
record LogLine(Instant time, String instance, String event, JsonNode fields) {
    /** Reads the first value of a text; a log may hold two lines run together. */
    private static final ObjectReader READER =
            Json.MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** Reads a line, whatever a log shipper put before its JSON; empty if it is none of a decision log. */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = READER.readTree(text.substring(start));
            if (!fields.path("event").isTextual()) {
                return Optional.empty();
            }
            Instant time = Instant.parse(fields.path("time").asText());
            return Optional.of(new LogLine(
                    time, fields.path("instance").asText(), fields.path("event").asText(), fields));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    String text(String field) {
        return fields.path(field).asText();
    }
}
