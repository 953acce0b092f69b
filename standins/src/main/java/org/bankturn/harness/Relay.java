package org.bankturn.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP relay that can simulate a network partition: while partitioned it holds back all data without closing
 * connections, and delivers it after healing.
 *
 * <p>Relay is thread-safe.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final ServerSocket listener;
    private final int destinationPort;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
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
        synchronized (lock) {
            partitioned = value;
            lock.notifyAll();
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
        awaitHealed();
        try {
            Socket far = new Socket(InetAddress.getLoopbackAddress(), destinationPort);
            sockets.add(far);
            startThread(() -> copy(near, far));
            copy(far, near);
        } finally {
            near.close();
        }
    }

    private void copy(Socket from, Socket to) throws IOException, InterruptedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int count = from.getInputStream().read(buffer);
                    count >= 0;
                    count = from.getInputStream().read(buffer)) {
                awaitHealed();
                to.getOutputStream().write(buffer, 0, count);
            }
        } finally {
            from.close();
            to.close();
        }
    }

    private void awaitHealed() throws InterruptedException {
        synchronized (lock) {
            while (partitioned) {
                lock.wait();
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
