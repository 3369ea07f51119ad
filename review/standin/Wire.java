package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Properties;

/** Names and formats of the platform, from wire.properties. */
final class Wire {
    static final String REQUEST_ID = text("field.request");
    static final String DEADLINE = text("field.deadline");
    static final String SIGNATURE = text("field.signature");
    static final String TARGET = text("field.target");
    static final String NOT_EXECUTED = text("field.notExecuted");
    static final String INSTANCE_ID = text("field.instance");
    static final String OBJECT_COOKIE = text("cookie.object");

    private static Properties names;

    private Wire() {}

    static synchronized String text(String key) {
        if (names == null) {
            names = load();
        }
        String text = names.getProperty(key);
        if (text == null) {
            throw new IllegalArgumentException("wire.properties has no " + key);
        }
        return text;
    }

    static String format(String key, Object... values) {
        return String.format(Locale.ROOT, text(key), values);
    }

    private static Properties load() {
        Properties loaded = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
            if (in == null) {
                throw new IOException("wire.properties is missing; run review/build.sh");
            }
            loaded.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return loaded;
    }
}
