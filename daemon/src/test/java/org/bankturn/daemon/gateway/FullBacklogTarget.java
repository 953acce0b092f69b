package org.bankturn.daemon.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A target with a full accept backlog, so that connection attempts time out. */
final class FullBacklogTarget implements AutoCloseable {
    private static final int MAX_QUEUED = 16;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final ServerSocket server;
    private final List<Socket> queued = new ArrayList<>();

    static FullBacklogTarget start() throws IOException {
        return new FullBacklogTarget();
    }

    /**
     * Starts a target that answers its first request, fills its backlog and then closes the connection of the request.
     *
     * @param response what it writes after the id of the request, not null
     */
    static FullBacklogTarget answeringOnce(String response) throws IOException {
        FullBacklogTarget target = new FullBacklogTarget(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        Thread thread = new Thread(() -> target.answerOnce(response), "full-backlog-target");
        thread.setDaemon(true);
        thread.start();
        return target;
    }

    private FullBacklogTarget() throws IOException {
        this(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        fillBacklog();
    }

    private FullBacklogTarget(ServerSocket server) {
        this.server = server;
    }

    private void answerOnce(String response) {
        try (Socket socket = server.accept()) {
            String head = ScriptedTarget.readHead(new BufferedInputStream(socket.getInputStream()));
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + ScriptedTarget.field(head, "id") + response);
            fillBacklog();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void fillBacklog() throws IOException {
        while (queued.size() < MAX_QUEUED) {
            Socket socket = new Socket();
            try {
                socket.connect(
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), CONNECT_TIMEOUT_MILLIS);
                queued.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
        throw new IOException("the accept backlog is not full with " + MAX_QUEUED + " connections");
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
