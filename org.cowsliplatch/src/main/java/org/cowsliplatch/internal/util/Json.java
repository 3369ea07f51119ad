package org.cowsliplatch.internal.util;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The JSON mapper that all of the library uses; unknown fields are rejected. */
public final class Json {
    /** Mapper for values that are exchanged between processes. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .build();

    private Json() {}

    /** Returns a value as JSON text. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass().getSimpleName() + " as JSON", e);
        }
    }

    /** Returns a value as indented JSON text. */
    public static String indented(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass().getSimpleName() + " as JSON", e);
        }
    }

    /** Returns a value as JSON in UTF-8. */
    public static byte[] bytes(Object value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a value from JSON.
     *
     * @throws IOException if the text is not valid JSON or does not match the type
     */
    public static <T> T read(String text, Class<T> type) throws IOException {
        T value = MAPPER.readValue(text, type);
        if (value == null) {
            throw new IOException("JSON null instead of a value of type " + type.getSimpleName());
        }
        return value;
    }

    /**
     * Reads a value from UTF-8 encoded JSON.
     *
     * @throws IOException if the text is not valid JSON or does not match the type
     */
    public static <T> T read(byte[] text, Class<T> type) throws IOException {
        return read(new String(text, StandardCharsets.UTF_8), type);
    }
}
