package org.bankturn.daemon.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.daemon.settings.Address;

/**
 * A process that acknowledges requests at once, and that reads large requests and writes large replies only as far as told.
 *
 * <p>ScriptedPeer is thread-safe.
 */
final class ScriptedPeer implements AutoCloseable {
    static final int STEP_BYTES = 1 << 20;

    private static final int SOCKET_BUFFER_BYTES = 64 << 10;
    private static final int LARGE_BYTES = 64 << 10;
    private static final String THREAD = "scripted-peer";

    private final ServerSocket listener = new ServerSocket();
    private final NodeReply replyToWatch;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Semaphore allowedSteps = new Semaphore(0);
    private final Semaphore begun = new Semaphore(0);
    private final Semaphore completedSteps = new Semaphore(0);
    private final AtomicInteger lost = new AtomicInteger();

    /** Starts a peer that gives the reply to requests to watch, and acknowledges others. */
    static ScriptedPeer start(NodeReply replyToWatch) throws IOException {
        return new ScriptedPeer(replyToWatch);
    }

    private ScriptedPeer(NodeReply replyToWatch) throws IOException {
        this.replyToWatch = replyToWatch;
        listener.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        BackgroundThread.start(THREAD, this::acceptAll);
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    int connections() {
        return sockets.size();
    }

    /** Returns the number of connections that ended within a frame. */
    int lostConnections() {
        return lost.get();
    }

    /** Waits until a large message begins. */
    void awaitLargeMessage() throws InterruptedException {
        begun.acquire();
    }

    /** Lets the peer transfer one more part of a large message, and waits until it has. */
    void step() throws InterruptedException {
        allowedSteps.release();
        completedSteps.acquire();
    }

    /** Lets the peer transfer all that follows. */
    void runFreely() {
        allowedSteps.release(Integer.MAX_VALUE / 2);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        runFreely();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void acceptAll() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
            sockets.add(socket);
            BackgroundThread.start(THREAD, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        while (true) {
            byte[] payload = new byte[input.readInt()];
            transfer(payload.length, (offset, count) -> input.readFully(payload, offset, count));
            Frame frame = MessagePackCodec.instance().decode(payload, Frame.class);
            boolean watch = frame.request() instanceof NodeRequest.WatchPublication;
            NodeReply reply = watch ? replyToWatch : new NodeReply.Acknowledged();
            byte[] answer = MessagePackCodec.instance().encode(new Frame(frame.correlation(), null, reply));
            output.writeInt(answer.length);
            transfer(answer.length, (offset, count) -> output.write(answer, offset, count));
        }
    }

    private void transfer(int bytes, Part part) throws IOException {
        boolean large = bytes > LARGE_BYTES;
        if (large) {
            begun.release();
        }
        try {
            for (int offset = 0; offset < bytes; offset += STEP_BYTES) {
                if (large) {
                    allowedSteps.acquireUninterruptibly();
                }
                part.transfer(offset, Math.min(STEP_BYTES, bytes - offset));
                if (large) {
                    completedSteps.release();
                }
            }
        } catch (IOException e) {
            lost.incrementAndGet();
            completedSteps.release(Integer.MAX_VALUE / 2);
            throw e;
        }
    }

    @FunctionalInterface
    private interface Part {
        void transfer(int offset, int count) throws IOException;
    }
}
