package org.bankturn.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A target whose queue of new connections is full, so that connections to it are neither made nor refused. */
final class FullBacklogTarget implements AutoCloseable {
    private static final int MOST_QUEUED = 16;
    private static final int CONNECT_MILLIS = 200;

    private final ServerSocket server;
    private final List<Socket> queued = new ArrayList<>();

    static FullBacklogTarget start() throws IOException {
        return new FullBacklogTarget();
    }

    private FullBacklogTarget() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        while (queued.size() < MOST_QUEUED) {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), CONNECT_MILLIS);
                queued.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
        throw new IOException("the queue is not full with " + MOST_QUEUED + " connections");
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
        server.close();
    }
}
