package org.bankturn.daemon.settings;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses for tests, below the range from which the system takes ports for outgoing connections.
 *
 * <p>A port out of that range may be taken by any connection while the process that listened on it restarts.
 */
public final class FreeAddresses {
    private static final int FIRST_PORT = 21_000;
    private static final int PORTS = 9_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 37 % PORTS));

    private FreeAddresses() {}

    /** Returns an address on which nothing listens. */
    public static Address next() {
        int port = FIRST_PORT + NEXT.getAndIncrement() % PORTS;
        while (isTaken(port)) {
            port = FIRST_PORT + NEXT.getAndIncrement() % PORTS;
        }
        return new Address("127.0.0.1", port);
    }

    private static boolean isTaken(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return !socket.isBound();
        } catch (IOException e) {
            return true;
        }
    }
}
