package org.bankturn.daemon.settings;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback addresses for tests below the ephemeral port range.
 *
 * <p>An ephemeral port could be taken by an outgoing connection while the process that listened on it restarts.
 */
public final class FreeAddresses {
    private static final int FIRST_PORT = 21_000;
    private static final int PORT_COUNT = 9_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 37 % PORT_COUNT));

    private FreeAddresses() {}

    /** Returns an address that is not in use, not null. */
    public static Address next() {
        int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
        while (isTaken(port)) {
            port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
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
