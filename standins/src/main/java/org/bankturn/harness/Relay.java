package org.bankturn.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A link between two processes that can be cut in silence: while it is cut nothing passes and nobody is told; once it
 * is healed, what was held back arrives late.
 *
 * <p>Relay is thread-safe.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final ServerSocket listener;
    private final int destinationPort;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Object gate = new Object();
    private boolean partitioned;

    static Relay start(int port, int destinationPort) throws IOException {
        ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        Relay relay = new Relay(listener, destinationPort);
        relay.startThread(relay::acceptAll);
        return relay;
    }

    private Relay(ServerSocket listener, int destinationPort) {
        this.listener = listener;
        this.destinationPort = destinationPort;
    }

    void setPartitioned(boolean value) {
        synchronized (gate) {
            partitioned = value;
            gate.notifyAll();
        }
    }

    @Override
    public void close() throws IOException {
        setPartitioned(false);
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void acceptAll() throws IOException, InterruptedException {
        while (!listener.isClosed()) {
            Socket near = listener.accept();
            sockets.add(near);
            startThread(() -> connect(near));
        }
    }

    private void connect(Socket near) throws IOException, InterruptedException {
        awaitOpen();
        try {
            Socket far = new Socket(InetAddress.getLoopbackAddress(), destinationPort);
            sockets.add(far);
            startThread(() -> pass(near, far));
            pass(far, near);
        } finally {
            near.close();
        }
    }

    private void pass(Socket from, Socket to) throws IOException, InterruptedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int count = from.getInputStream().read(buffer);
                    count >= 0;
                    count = from.getInputStream().read(buffer)) {
                awaitOpen();
                to.getOutputStream().write(buffer, 0, count);
            }
        } finally {
            from.close();
            to.close();
        }
    }

    private void awaitOpen() throws InterruptedException {
        synchronized (gate) {
            while (partitioned) {
                gate.wait();
            }
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
