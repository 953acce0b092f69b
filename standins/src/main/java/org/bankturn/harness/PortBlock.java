package org.bankturn.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports on loopback, all different, below those that the system gives to outgoing connections.
 *
 * <p>PortBlock are handed out in blocks. The first port of a block is listened on until the block is given back, so that two
 * deployments on one machine, of one process or of two, never have one in common.
 */
final class PortBlock implements AutoCloseable {
    private static final int FIRST_BLOCK = 10_000;
    private static final int BLOCK_PORTS = 500;
    private static final int BLOCKS = 22;

    /** Blocks are taken in turn, so that connections of the deployment before may still end on theirs. */
    private static final AtomicInteger NEXT_BLOCK =
            new AtomicInteger((int) (ProcessHandle.current().pid() % BLOCKS));

    private final ServerSocket claim;
    private final int firstPort;
    private int last;

    /**
     * Claims a block that has room for some ports.
     *
     * @param count how many are needed, at most 499
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
        throw new IOException("all " + BLOCKS + " blocks of ports are taken");
    }

    private PortBlock(ServerSocket claim, int firstPort) {
        this.claim = claim;
        this.firstPort = firstPort;
    }

    /** Returns the next port of the block on which nothing listens. */
    int next() {
        do {
            last++;
        } while (last < BLOCK_PORTS && isTaken(firstPort + last));
        if (last >= BLOCK_PORTS) {
            throw new IllegalStateException("no port left in the block from " + firstPort);
        }
        return firstPort + last;
    }

    /** Returns a loopback address with the next port. */
    String nextAddress() {
        return "127.0.0.1:" + next();
    }

    /** Gives the block back. */
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
            // somebody else listens there, which is the answer
            return Optional.empty();
        }
    }
}
