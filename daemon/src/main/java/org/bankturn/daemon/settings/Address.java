package org.bankturn.daemon.settings;

import java.net.InetSocketAddress;

/**
 * An IP address and port.
 *
 * @param host the IP address, not null
 * @param port the port, from 1 to 65535
 */
public record Address(String host, int port) {
    /**
     * Parses an address in the form host:port.
     *
     * @param text the text, not null
     * @return the address, not null
     * @throws IllegalArgumentException if the text is not an address
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not an IP address and port: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port out of range: " + text);
        }
        return new Address(text.substring(0, colon), port);
    }

    /** Returns the socket address, not null. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
