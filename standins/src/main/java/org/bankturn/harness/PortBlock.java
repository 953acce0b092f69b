package org.bankturn.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A block of loopback ports below the ephemeral range.
 *
 * <p>A listener on the first port claims the block until it is closed, so that deployments on one machine, in the same
 * or in different processes, never share a port.
 */
final class PortBlock implements AutoCloseable {
    private static final int FIRST_BLOCK = 10_000;
    private static final int BLOCK_PORTS = 500;
    private static final int BLOCKS = 22;

    /** Blocks are used in rotation, so that lingering connections of a previous deployment do not interfere. */
    private static final AtomicInteger NEXT_BLOCK =
            new AtomicInteger((int) (ProcessHandle.current().pid() % BLOCKS));

    private final ServerSocket claim;
    private final int firstPort;
    private int lastOffset;

    /**
     * Claims a free block.
     *
     * @param count the number of ports needed, at most 499
     * @return the ports, not null
     * @throws IOException if all blocks are claimed
     */
    static PortBlock claim(int count) throws IOException {
        if (count < 0 || count >= BLOCK_PORTS) {
            throw new IllegalArgumentException("count must be from 0 to " + (BLOCK_PORTS - 1) + ", not " + count);
        }
        for (int attempt = 0; attempt < BLOCKS; attempt++) {
            int firstPort = FIRST_BLOCK + NEXT_BLOCK.getAndIncrement() % BLOCKS * BLOCK_PORTS;
            Optional<ServerSocket> claim = listen(firstPort);
            if (claim.isPresent()) {
                return new PortBlock(claim.get(), firstPort);
            }
        }
        throw new IOException("all " + BLOCKS + " port blocks are in use");
    }

    private PortBlock(ServerSocket claim, int firstPort) {
        this.claim = claim;
        this.firstPort = firstPort;
    }

    /** Returns the next free port of the block. */
    int next() {
        do {
            lastOffset++;
        } while (lastOffset < BLOCK_PORTS && isTaken(firstPort + lastOffset));
        if (lastOffset >= BLOCK_PORTS) {
            throw new IllegalStateException("no free port left in the block starting at " + firstPort);
        }
        return firstPort + lastOffset;
    }

    /** Returns a loopback address with the next port. */
    String nextAddress() {
        return "127.0.0.1:" + next();
    }

    /** Releases the block. */
    @Override
    public void close() throws IOException {
        claim.close();
    }

    private static boolean isTaken(int port) {
        try (ServerSocket socket = listen(port).orElse(null)) {
            return socket == null;
        } catch (IOException e) {
            return true;
        }
    }

    private static Optional<ServerSocket> listen(int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // the port is in use
            return Optional.empty();
        }
    }
}
