package org.cowsliplatch.internal.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How this entry instance came to know the tables that decided a request.
 *
 * @param source who delivered them, or empty if that is not known any more
 * @param ageMs time in ms since they came into force here
 * @param storeHeardMs time in ms since the store was last heard, also through a peer; -1 if that is not recorded
 */
public record TablesOrigin(String source, long ageMs, long storeHeardMs) {
    /** Origin of tables of which nothing is recorded. */
    public static final TablesOrigin UNKNOWN = new TablesOrigin("", 0, -1);

    /** Returns the fields for logs. */
    Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("source", source);
        fields.put("ageMs", ageMs);
        fields.put("storeHeardMs", storeHeardMs);
        return fields;
    }
}
