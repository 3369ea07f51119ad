package org.cowsliplatch.internal.util;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats socket addresses given as IP address and port; host names are not resolved. */
public final class Addresses {
    private static final Pattern IPV4 = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6 = Pattern.compile("\\[([0-9a-fA-F:.]+)\\]:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Parses an address such as {@code 10.0.0.7:8080}; returns empty if the text is not a valid address. */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher v4 = IPV4.matcher(text);
        Matcher v6 = IPV6.matcher(text);
        Matcher matcher = v4.matches() ? v4 : v6;
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Formats an address such that {@link #parse} accepts it. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return host.contains(":") ? "[" + host + "]:" + address.getPort() : host + ":" + address.getPort();
    }
}
