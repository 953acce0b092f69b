package org.bankturn.daemon.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;

/**
 * A TCP relay that can silence its open connections permanently without closing them, while new ones work.
 *
 * <p>SilencingRelay is thread-safe.
 */
public final class SilencingRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final String THREAD = "silencing-relay";

    private final Address address;
    private final Address destination;
    private final ServerSocket listener;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final AtomicInteger openedConnections = new AtomicInteger();
    private final AtomicInteger silentConnectionsUsed = new AtomicInteger();

    /** Starts a relay at a free loopback address. */
    public static SilencingRelay inFrontOf(Address destination) throws IOException {
        return at(FreeAddresses.next(), destination);
    }

    /** Starts a relay at the given loopback address. */
    public static SilencingRelay at(Address address, Address destination) throws IOException {
        return new SilencingRelay(address, destination);
    }

    private SilencingRelay(Address address, Address destination) throws IOException {
        this.address = address;
        this.destination = destination;
        this.listener = new ServerSocket(address.port(), 50, InetAddress.getByName(address.host()));
        BackgroundThread.start(THREAD, this::acceptAll);
    }

    /** Returns the address that clients connect to. */
    public Address address() {
        return address;
    }

    /** Returns the number of connections accepted so far. */
    public int openedConnections() {
        return openedConnections.get();
    }

    /** Returns the number of silenced connections on which clients sent data afterwards. */
    public int silentConnectionsUsed() {
        return silentConnectionsUsed.get();
    }

    /** Stops forwarding on the connections that are open now, without closing them. */
    public void silence() {
        links.forEach(link -> link.silent.set(true));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Link link : links) {
            link.close();
        }
    }

    private void acceptAll() throws IOException {
        while (!listener.isClosed()) {
            Socket client = listener.accept();
            Link link = new Link(client, new Socket(destination.host(), destination.port()));
            openedConnections.incrementAndGet();
            links.add(link);
            BackgroundThread.start(THREAD, () -> link.forward(link.client, link.server, true));
            BackgroundThread.start(THREAD, () -> link.forward(link.server, link.client, false));
        }
    }

    private final class Link {
        private final Socket client;
        private final Socket server;
        private final AtomicBoolean silent = new AtomicBoolean();
        private final AtomicBoolean counted = new AtomicBoolean();

        Link(Socket client, Socket server) throws IOException {
            this.client = client;
            this.server = server;
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
        }

        void forward(Socket from, Socket to, boolean fromClient) throws IOException {
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream input = from.getInputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (!silent.get()) {
                    to.getOutputStream().write(buffer, 0, count);
                } else if (fromClient && counted.compareAndSet(false, true)) {
                    silentConnectionsUsed.incrementAndGet();
                }
            }
            if (!silent.get()) {
                close();
            }
        }

        void close() throws IOException {
            client.close();
            server.close();
        }
    }
}
