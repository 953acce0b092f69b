package org.bankturn.daemon.serving;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A seeded soak: one request that crashes its targets in ways that the attempts at it do not show, through several gateways,
 * with callers that leave or wait for a short time only.
 */
@Timeout(120)
class CrashingRequestSoakTest extends CrashSoakFixture {
    private static final String CRASHING = "deadly";
    private static final int CRASHES_BEFORE_LIMIT = 3;
    private static final int SHORT_DEADLINE_MILLIS = 300;
    private static final int LONG_DEADLINE_MILLIS = 5_000;

    /** How long a caller waits for a response before it leaves. */
    private static final int MAX_WAIT_MILLIS = 600;

    private final Random endings = new Random(0);

    /** How a target that crashes ends the attempt. */
    private enum Ending {
        /** It closes the connection. */
        CLOSED {
            @Override
            void crash(ScriptedTarget target, String id, Socket socket) throws IOException {
                target.crash();
            }
        },
        /** Its connection carries nothing any more. */
        SILENT {
            @Override
            void crash(ScriptedTarget target, String id, Socket socket) throws IOException {
                target.crashSilently();
            }
        },
        /** It crashes once the attempt is given up. */
        GIVEN_UP {
            @Override
            void crash(ScriptedTarget target, String id, Socket socket) throws IOException {
                ScriptedTarget.awaitClose(socket);
                target.crash();
            }
        },
        /** It reports a failure first. */
        FAILED {
            @Override
            void crash(ScriptedTarget target, String id, Socket socket) throws IOException {
                ScriptedTarget.write(socket, "HTTP/1.1 500 Error\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
                target.crash();
            }
        },
        /** It responds completely first. */
        ANSWERED {
            @Override
            void crash(ScriptedTarget target, String id, Socket socket) throws IOException {
                answer(id, CRASHING, socket);
                target.crash();
            }
        };

        abstract void crash(ScriptedTarget target, String id, Socket socket) throws IOException;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void a_crashing_request_is_stopped_everywhere_however_its_attempts_end(long seed) throws Exception {
        endings.setSeed(seed);
        run(new Random(seed));
        check(CRASHES_BEFORE_LIMIT);
    }

    @Override
    void callCrashing(Random random) throws IOException {
        pause(SOUND_ONLY_MILLIS);
        while (isRunning()) {
            int deadline = random.nextBoolean() ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS;
            try (Socket socket = new Socket()) {
                socket.connect(someGateway(random).toSocketAddress());
                socket.setSoTimeout(MAX_WAIT_MILLIS);
                write(socket, deadline);
                pause(50 + random.nextInt(200));
                if (random.nextBoolean()) {
                    int unused = socket.getInputStream().read();
                }
            } catch (IOException e) {
                // the caller leaves, or a gateway that is stopping has closed its port
            }
        }
    }

    private void write(Socket socket, int deadline) throws IOException {
        ScriptedTarget.write(
                socket,
                "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: c" + calls.incrementAndGet() + "\r\nDeadline: " + deadline
                        + "\r\nKey: k\r\nConnection: close\r\nContent-Length: " + CRASHING.length() + "\r\n\r\n"
                        + CRASHING);
    }

    @Override
    ScriptedTarget newTarget() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            String body = self[0].bodies.get(number - 1);
            if (!body.equals(CRASHING)) {
                return answer(id, body, socket);
            }
            removed(self[0]);
            recordCrash();
            nextEnding().crash(self[0], id, socket);
            return false;
        });
        return self[0];
    }

    private synchronized Ending nextEnding() {
        List<Ending> all = List.of(Ending.values());
        return all.get(endings.nextInt(all.size()));
    }
}
