package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends large frames to a process on several connections at once. */
@Timeout(60)
class ReceivedFramesTest {
    private static final int BUDGET_BYTES = 4 << 20;
    private static final int FRAME_BYTES = 3 << 20;
    private static final int BEGIN_BYTES = 1 << 10;
    private static final int SENDERS = 6;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("received-frames-test").build();
    private final ReceiveBudget budget = ReceiveBudget.ofBytes(BUDGET_BYTES);
    private final Address address = FreeAddresses.next();
    private final List<Socket> sockets = new ArrayList<>();
    private NodeServer server;

    @BeforeEach
    void start() {
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "received-frames-test");
        thread.setDaemon(true);
        thread.start();
        reactor.submit(() -> {
                    server = NodeServer.create(
                            reactor,
                            Clock.system(),
                            address,
                            request -> Promise.of(new NodeReply.Acknowledged()),
                            ConnectionObserver.NONE,
                            new NodeServer.Limits(BUDGET_BYTES, budget));
                    server.listen();
                    return Promise.complete();
                })
                .join();
    }

    @AfterEach
    void stop() throws IOException {
        reactor.breakEventloop();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Guards against large frames on several connections that together do not fit the memory. */
    @Test
    void frame_that_does_not_fit_beside_others_waits_for_them() throws Exception {
        byte[] frame = frame();
        Socket first = connect();
        begin(first, frame);
        awaitReservedBytes(frame.length);
        Socket second = connect();
        begin(second, frame);
        awaitWaitingFrames(1);
        assertThat(budget.reservedBytes()).isEqualTo(frame.length);
        complete(first, frame);
        readReply(first);
        complete(second, frame);
        readReply(second);
        awaitReservedBytes(0);
    }

    /** Guards against memory that stays reserved for processes that vanished within a frame. */
    @Test
    void closed_connections_give_their_memory_back() throws Exception {
        byte[] frame = frame();
        Socket first = connect();
        begin(first, frame);
        awaitReservedBytes(frame.length);
        Socket second = connect();
        begin(second, frame);
        awaitWaitingFrames(1);
        first.close();
        awaitWaitingFrames(0);
        complete(second, frame);
        readReply(second);
        awaitReservedBytes(0);
    }

    @Test
    void all_large_frames_are_received_one_after_another() throws Exception {
        byte[] frame = frame();
        for (int sender = 0; sender < SENDERS; sender++) {
            Socket socket = connect();
            BackgroundThread.start("sender", () -> {
                begin(socket, frame);
                complete(socket, frame);
            });
        }
        for (Socket socket : sockets) {
            readReply(socket);
        }
        awaitReservedBytes(0);
    }

    /** Guards against small messages that wait until there is memory for large ones. */
    @Test
    void small_frames_need_no_memory_of_the_large_ones() throws Exception {
        byte[] frame = frame();
        begin(connect(), frame);
        awaitReservedBytes(frame.length);
        begin(connect(), frame);
        awaitWaitingFrames(1);
        Socket small = connect();
        byte[] request = MessagePackCodec.instance().encode(new Frame(1, new NodeRequest.GetLoad(), null));
        DataOutputStream output = new DataOutputStream(small.getOutputStream());
        output.writeInt(request.length);
        output.write(request);
        readReply(small);
    }

    @Test
    void frame_above_all_of_the_memory_ends_its_connection() throws Exception {
        Socket socket = connect();
        new DataOutputStream(socket.getOutputStream()).writeInt(BUDGET_BYTES + 1);
        assertThat(socket.getInputStream().read()).isNegative();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        sockets.add(socket);
        return socket;
    }

    private static byte[] frame() {
        NodeRequest request = new NodeRequest.GetManifest("m".repeat(FRAME_BYTES));
        return MessagePackCodec.instance().encode(new Frame(1, request, null));
    }

    private static void begin(Socket socket, byte[] frame) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(frame.length);
        output.write(frame, 0, BEGIN_BYTES);
    }

    private static void complete(Socket socket, byte[] frame) throws IOException {
        socket.getOutputStream().write(frame, BEGIN_BYTES, frame.length - BEGIN_BYTES);
    }

    private static void readReply(Socket socket) throws IOException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        byte[] payload = input.readNBytes(input.readInt());
        assertThat(MessagePackCodec.instance().decode(payload, Frame.class).reply())
                .isInstanceOf(NodeReply.Acknowledged.class);
    }

    private void awaitReservedBytes(long bytes) throws InterruptedException {
        while (budget.reservedBytes() != bytes) {
            Thread.sleep(1);
        }
    }

    private void awaitWaitingFrames(int frames) throws InterruptedException {
        while (budget.waitingFrames() != frames) {
            Thread.sleep(1);
        }
    }
}
