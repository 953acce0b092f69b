package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.settings.ProcessRole;
import org.junit.jupiter.api.Test;

/** Guards against calls that a control process takes during its planned stop and never answers. */
class LateCallsInPlannedStopTest extends ServingFixture {
    private static final int CLIENTS = 8;
    private static final int NO_ANSWER_MILLIS = 5_000;

    private final AtomicLong sequence = new AtomicLong();
    private final List<String> answers = new CopyOnWriteArrayList<>();
    private final List<String> unanswered = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    @Test
    void every_heartbeat_to_a_control_process_that_is_stopped_is_answered() throws Exception {
        configure();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String id = "t" + number;
            Thread client = new Thread(() -> sendHeartbeats(id));
            client.start();
            clients.add(client);
        }
        while (answers.size() < CLIENTS) {
            Thread.onSpinWait();
        }
        stopControl();
        stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        assertThat(unanswered).isEmpty();
        assertThat(answers).contains("200").contains("503");
    }

    @Test
    void a_gateway_that_is_stopped_while_it_starts_ends_in_time() throws Exception {
        Address callers = FreeAddresses.next();
        ServingProcess process = create(ProcessRole.ENTRY, callers);
        CompletableFuture<Void> started = process.start();
        process.stop();
        started.join();
    }

    /** Sends heartbeats until one that was sent after the stop is answered. */
    private void sendHeartbeats(String id) {
        boolean last = false;
        while (!last) {
            try (Socket socket = new Socket(control.host(), control.port())) {
                socket.setSoTimeout(NO_ANSWER_MILLIS);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                String head;
                do {
                    last = stopped;
                    head = sendHeartbeat(id, socket, input);
                } while (!last && !head.contains("Connection: close"));
            } catch (IOException e) {
                unanswered.add(id + ": " + e);
                return;
            }
        }
    }

    private String sendHeartbeat(String id, Socket socket, InputStream input) throws IOException {
        ScriptedTarget.write(
                socket,
                "POST /beat/" + id + "/ready/" + sequence.incrementAndGet()
                        + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            byte[] next = input.readNBytes(1);
            if (next.length == 0) {
                throw new IOException("closed without an answer");
            }
            head.append(new String(next, StandardCharsets.ISO_8859_1));
        }
        answers.add(head.substring(9, 12));
        return head.toString();
    }
}
