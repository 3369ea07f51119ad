package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names and formats of the platform, from {@code wire.properties}. */
final class Wire {
    static final String REQUEST = name("header.request");
    static final String DEADLINE = name("header.deadline");
    static final String SIGNATURE = name("header.signature");
    static final String TARGET = name("header.target");
    static final String NOT_EXECUTED = name("header.notExecuted");
    static final String INSTANCE = name("header.instance");
    static final String GET = name("call.get");
    static final String FEED = name("call.feed");
    static final String WRITE = name("call.write");
    static final String READY = name("call.ready");
    static final String WAIT = name("feed.wait");

    private Wire() {}

    static String format(String key, Object... values) {
        return name(key).formatted(values);
    }

    private static String name(String key) {
        try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
            Properties names = new Properties();
            names.load(in);
            return names.getProperty(key);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
