package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A seeded soak of a gateway in a process of its own: targets and callers send without end, too much, too slowly and too
 * little, beside sound requests.
 *
 * <p>The system property {@code bankturn.soak.seeds} sets the number of seeds.
 */
@Timeout(120)
class UnboundedPeersSoakTest {
    private static final int TARGETS = 12;
    private static final int ROUNDS = 3;
    private static final long ROUND_MILLIS = 3_000;
    private static final int SOUND_CALLERS = 3;
    private static final int BAD_CALLERS = 8;
    private static final int BAD_DEADLINE_MILLIS = 700;
    private static final long SLOW_BYTE_MILLIS = 200;

    /** Memory that classes, compiled code and pools take after the first round. */
    private static final long MAX_GROWTH_BYTES = 12L << 20;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<Throwable> errors = new CopyOnWriteArrayList<>();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Address callerAddress = FreeAddresses.next();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("bankturn.soak.seeds", 1));
    }

    @AfterEach
    void closeTargets() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void sound_requests_are_served_and_no_memory_grows(long seed) throws Exception {
        Random random = new Random(seed);
        for (int number = 0; number < TARGETS; number++) {
            targets.add(target());
        }
        try (GatewayProcess gateway = GatewayProcess.start(
                callerAddress, targets.stream().map(ScriptedTarget::address).toList())) {
            List<Long> heap = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                runRound(random);
                heap.add(gateway.usedHeapBytes());
            }
            System.out.printf(
                    "seed %d: %d sound requests served, heap after each round %s%n", seed, served.get(), heap);
            assertThat(errors).isEmpty();
            assertThat(gateway.isAlive()).isTrue();
            assertThat(heap.get(ROUNDS - 1)).as("heap %s", heap).isLessThan(heap.get(0) + MAX_GROWTH_BYTES);
        }
    }

    private void runRound(Random random) throws InterruptedException {
        long end = System.currentTimeMillis() + ROUND_MILLIS;
        List<Thread> threads = new ArrayList<>();
        for (int caller = 0; caller < SOUND_CALLERS; caller++) {
            threads.add(started(end, this::callSound, new Random(random.nextLong())));
        }
        for (int caller = 0; caller < BAD_CALLERS; caller++) {
            threads.add(started(end, this::callBadly, new Random(random.nextLong())));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    // ---- callers

    private void callSound(Random random) throws IOException {
        String body = "sound" + calls.incrementAndGet();
        String answer = exchange(body, "Content-Length: " + body.length(), body, 5_000);
        assertThat(answer).startsWith("HTTP/1.1 200").endsWith(body);
        served.incrementAndGet();
        pause(random.nextInt(20));
    }

    private void callBadly(Random random) {
        int number = calls.incrementAndGet();
        try {
            if (random.nextInt(3) > 0) {
                Endless[] all = Endless.values();
                String body = all[random.nextInt(all.length)].name() + " " + number;
                exchange("b" + number, "Content-Length: " + body.length(), body, BAD_DEADLINE_MILLIS);
            } else {
                BadCaller[] all = BadCaller.values();
                try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
                    all[random.nextInt(all.length)].send(socket, "b" + number);
                }
            }
        } catch (IOException e) {
            // the gateway closes the connections of callers that exceed its limits
        }
    }

    private String exchange(String id, String framing, String body, int deadline) throws IOException {
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(socket, head(id, framing, deadline) + body);
            return GatewayFixture.readAll(socket.getInputStream());
        }
    }

    private static String head(String id, String framing, int deadline) {
        return "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDeadline: " + deadline + "\r\nKey: k\r\n"
                + "Connection: close\r\n" + framing + "\r\n\r\n";
    }

    /** How a caller misbehaves. */
    private enum BadCaller {
        ENDLESS_BODY {
            @Override
            void send(Socket socket, String id) throws IOException {
                ScriptedTarget.write(socket, head(id, "Transfer-Encoding: chunked", BAD_DEADLINE_MILLIS));
                writeForLong(socket, "8\r\nxxxxxxxx\r\n".repeat(4_000));
            }
        },
        LARGE_BODY {
            @Override
            void send(Socket socket, String id) throws IOException {
                int size = 4_000_000;
                ScriptedTarget.write(socket, head(id, "Content-Length: " + size, BAD_DEADLINE_MILLIS));
                ScriptedTarget.write(socket, "x".repeat(size));
                GatewayFixture.readAll(socket.getInputStream());
            }
        },
        ENDLESS_HEAD {
            @Override
            void send(Socket socket, String id) throws IOException {
                ScriptedTarget.write(socket, "POST /x/1 HTTP/1.1\r\n");
                writeForLong(socket, "Name: value\r\n".repeat(1_000));
            }
        },
        SLOW_HEAD {
            @Override
            void send(Socket socket, String id) throws IOException {
                writeSlowly(socket, head(id, "Content-Length: 0", BAD_DEADLINE_MILLIS));
            }
        },
        SLOW_BODY {
            @Override
            void send(Socket socket, String id) throws IOException {
                ScriptedTarget.write(socket, head(id, "Content-Length: 10", BAD_DEADLINE_MILLIS));
                writeSlowly(socket, "0123456");
            }
        },
        CUT_REQUEST {
            @Override
            void send(Socket socket, String id) throws IOException {
                ScriptedTarget.write(socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: ");
            }
        },
        SLOW_READER {
            @Override
            void send(Socket socket, String id) throws IOException {
                String body = Endless.LARGE.name();
                ScriptedTarget.write(socket, head(id, "Content-Length: " + body.length(), 5_000) + body);
                for (int part = 0; part < 5; part++) {
                    pause(SLOW_BYTE_MILLIS);
                    int unused = socket.getInputStream().read(new byte[1_000]);
                }
            }
        };

        abstract void send(Socket socket, String id) throws IOException;
    }

    // ---- targets

    /** How a target misbehaves; its name is the first word of the request's body. */
    private enum Endless {
        BODY("HTTP/1.1 200 OK\r\nId: #\r\n\r\n", "x".repeat(60_000), 0),
        CHUNKS("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nxx\r\n".repeat(8_000), 0),
        TRAILERS("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n".repeat(6_000), 0),
        INTERIM("", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2_000), 0),
        HEAD("HTTP/1.1 200 OK\r\n", "Name: x\r\n".repeat(6_000), 0),
        OTHER("HTTP/1.1 200 OK\r\nId: another\r\n\r\n", "x".repeat(60_000), 0),
        FAILURE("HTTP/1.1 500 Error\r\nId: #\r\n\r\n", "x".repeat(60_000), 0),
        LARGE("HTTP/1.1 200 OK\r\nId: #\r\nContent-Length: 3000000\r\n\r\n" + "x".repeat(3_000_000), "", 0),
        SLOW_HEAD("", "HTTP/1.1 200 OK\r\n", SLOW_BYTE_MILLIS),
        SLOW_BODY("HTTP/1.1 200 OK\r\nId: #\r\nContent-Length: 100\r\n\r\n", "x".repeat(50), SLOW_BYTE_MILLIS),
        SLOW_CHUNK("HTTP/1.1 200 OK\r\nId: #\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000", SLOW_BYTE_MILLIS),
        CUT("HTTP/1.1 200 OK\r\nId: #\r\nContent-Length: 100\r\n\r\nx", "", 0);

        private final String start;
        private final String repeated;
        private final long byteMillis;

        Endless(String start, String repeated, long byteMillis) {
            this.start = start;
            this.repeated = repeated;
            this.byteMillis = byteMillis;
        }

        void respond(Socket socket, String id) throws IOException {
            ScriptedTarget.write(socket, start.replace("#", id));
            if (byteMillis > 0) {
                writeSlowly(socket, repeated);
            } else if (!repeated.isEmpty()) {
                writeForLong(socket, repeated);
            }
        }
    }

    private ScriptedTarget target() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            String body = self[0].bodies.set(number - 1, "");
            self[0].heads.set(number - 1, "");
            if (body.startsWith("sound")) {
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                return true;
            }
            String kind = body.split(" ", -1)[0];
            for (Endless each : Endless.values()) {
                if (each.name().equals(kind)) {
                    each.respond(socket, id);
                }
            }
            return false;
        });
        return self[0];
    }

    // ---- writing

    /** Writes until the other side closes the connection, or has taken far more than it may buffer. */
    private static void writeForLong(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (long written = 0; written < 200L << 20; written += bytes.length) {
            socket.getOutputStream().write(bytes);
        }
    }

    private static void writeSlowly(Socket socket, String text) throws IOException {
        for (int position = 0; position < text.length() && position < 8; position++) {
            ScriptedTarget.write(socket, text.substring(position, position + 1));
            pause(SLOW_BYTE_MILLIS);
        }
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    // ---- threads

    /** One call of a caller. */
    private interface Call {
        void run(Random random) throws IOException;
    }

    private Thread started(long endMillis, Call call, Random random) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (System.currentTimeMillis() < endMillis) {
                            call.run(random);
                        }
                    } catch (IOException | AssertionError e) {
                        errors.add(e);
                    }
                },
                "soak");
        thread.start();
        return thread;
    }
}
