package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against responses without end that fill the memory of a gateway, or are given up only at the deadline. */
class EndlessResponseTest extends GatewayFixture {
    private static final long MIB = 1 << 20;

    /** The heap of an entry process. */
    private static final long HEAP_BYTES = 160 * MIB;

    /** The bound of one response and what the sockets and the read buffers of both sides hold. */
    private static final long MAX_TAKEN_BYTES = HEAP_BYTES / 32 + 11 * MIB;

    private static final int WRITE_BYTES = 64 << 10;

    private final AtomicLong takenBytes = new AtomicLong();

    @Override
    long heapBytes() {
        return HEAP_BYTES;
    }

    /** What a target sends until its connection is closed. */
    enum Endless {
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nId: #\r\n\r\n", "x"),
        BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nId: #\r\nContent-Length: 3000000000\r\n\r\n", "x"),
        BODY_OF_A_FAILURE("HTTP/1.1 500 Error\r\nId: #\r\n\r\n", "x"),
        BODY_IN_CHUNKS("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
        TRAILERS("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n"),
        CHUNK_EXTENSIONS(
                "HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1;" + "e".repeat(1_000) + "\r\nx\r\n"),
        INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
        HEAD_LINES("HTTP/1.1 200 OK\r\nId: #\r\n", "Name: x\r\n"),
        HEAD_LINE("HTTP/1.1 200 OK\r\nId: #\r\nName: ", "x"),
        NO_RESPONSE("", "x"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
        BODY_OF_ANOTHER_RESPONSE("HTTP/1.1 200 OK\r\nId: another\r\n\r\n", "x");

        private final String start;
        private final String repeated;

        Endless(String start, String unit) {
            this.start = start;
            this.repeated = unit.repeat(1 + WRITE_BYTES / unit.length());
        }
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void a_response_without_end_is_given_up_at_its_bound(Endless endless) throws Exception {
        publish(RequestKind.UNSAFE, 1, endless(endless));
        long since = clock.millis();
        assertThat(call("POST", "r1", "x")).startsWith("HTTP/1.1 502");
        System.out.printf(
                "%s: %d kB taken, given up after %d ms%n", endless, takenBytes.get() >> 10, clock.millis() - since);
        assertThat(takenBytes.get()).isLessThan(MAX_TAKEN_BYTES);
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void a_request_that_may_be_repeated_is_served_by_another_target(Endless endless) throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, endless(endless), endless(endless), answering("ok", ""));
        for (int number = 0; number < 4; number++) {
            call("POST", "r" + number, "x" + number);
        }
        assertThat(call("POST", "last", "y")).startsWith("HTTP/1.1 200").endsWith("ok");
        assertThat(takenBytes.get()).isLessThan(4 * MAX_TAKEN_BYTES);
    }

    @Test
    void a_stream_whose_event_has_no_end_is_given_up_at_its_bound() throws Exception {
        publish(RequestKind.STREAM, 1, register(new ScriptedTarget((number, id, socket) -> {
            EventStream.begin(socket, id);
            EventStream.writeEvents(socket, 1, 1);
            writeUntilClosed(socket, chunk("x".repeat(WRITE_BYTES)));
            return false;
        })));
        assertThat(call("POST", "r1", "x")).contains("id: 1").doesNotContain("xxxx");
        assertThat(takenBytes.get()).isLessThan(MAX_TAKEN_BYTES);
    }

    @Test
    void a_stream_whose_event_has_no_end_is_resumed_at_another_target() throws Exception {
        AtomicBoolean endless = new AtomicBoolean(true);
        publish(RequestKind.RESUMABLE_STREAM, 2, endlessAtFirst(endless), endlessAtFirst(endless));
        assertThat(EventStream.eventsOf(call("POST", "r1", "x"))).isEqualTo(EventStream.allEvents());
        assertThat(endless).isFalse();
    }

    /** Returns one of several targets of which one sends an event without end, once. */
    private ScriptedTarget endlessAtFirst(AtomicBoolean endless) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            EventStream.begin(socket, id);
            if (endless.getAndSet(false)) {
                EventStream.writeEvents(socket, 1, 2);
                writeUntilClosed(socket, chunk("x".repeat(WRITE_BYTES)));
            }
            String last = ScriptedTarget.field(self[0].heads.get(number - 1), "last-event");
            EventStream.writeEvents(socket, Integer.parseInt(last) + 1, EventStream.EVENTS);
            EventStream.end(socket);
            return true;
        }));
        return self[0];
    }

    @Test
    void a_large_response_below_the_bound_is_forwarded_whole() throws Exception {
        String body = "0123456789abcdef".repeat((int) (2 * MIB / 16));
        publish(RequestKind.UNSAFE, 1, answering(body, ""));
        assertThat(call("POST", "r1", "x")).startsWith("HTTP/1.1 200").endsWith(body);
    }

    private ScriptedTarget endless(Endless endless) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, endless.start.replace("#", id));
            writeUntilClosed(socket, endless.repeated.getBytes(StandardCharsets.ISO_8859_1));
            return false;
        }));
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes until the other side closes the connection, which fails the write. */
    private void writeUntilClosed(Socket socket, byte[] bytes) throws IOException {
        OutputStream output = socket.getOutputStream();
        while (true) {
            output.write(bytes);
            takenBytes.addAndGet(bytes.length);
        }
    }
}
