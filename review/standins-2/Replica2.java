import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a plain service that follows the users' pages. */
final class Replica2 {
    final String id;
    final String service;
    private final Cluster cluster;
    private final InetSocketAddress address;
    private final String zone;
    private final int slots;
    private final int queue;
    private final long workMillis;
    private final Semaphore free;
    private final AtomicInteger held = new AtomicInteger();
    private final Random random;
    private final ServerSocket listener;

    /** How often each request has begun to run, by id. */
    final Map<String, AtomicInteger> runs;

    /** The share of answers of which a second copy is sent late, 0 outside of the disruption. */
    volatile double lateCopies;

    /** The share of answers without a length, which end with their connection; 0 outside of the disruption. */
    volatile double unframed;

    final AtomicInteger copiesSent = new AtomicInteger();
    volatile boolean ended;

    Replica2(
            Cluster cluster,
            int number,
            String service,
            int slots,
            int queue,
            long workMillis,
            Map<String, AtomicInteger> runs)
            throws IOException {
        this.cluster = cluster;
        this.service = service;
        this.address = cluster.replica(number);
        this.zone = Cluster.ZONES[number % Cluster.ZONES.length];
        this.id = "i-" + Integer.toHexString(0x7f3a9000 + number);
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
        this.random = new Random(number);
        this.runs = runs;
        this.listener = new ServerSocket();
        listener.bind(address, 256);
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "replica", 128 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        int next = 0;
        for (int sequence = 1; !ended; sequence++) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address.getHostString() + ":"
                    + address.getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                    + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":" + sequence + "}";
            boolean taken = false;
            for (int tries = 0; tries < cluster.controls() && !taken; tries++) {
                try {
                    taken = Wire.call(
                                            cluster.control(1 + next % cluster.controls()),
                                            "POST",
                                            "/instances/" + id + "/heartbeat",
                                            body,
                                            1_000)
                                    .status
                            / 100 == 2;
                } catch (IOException e) {
                    // the next process is called
                }
                next += taken ? 0 : 1;
            }
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        byte[] copy = null;
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
                byte[] body = Wire.readRequestBody(in, head);
                if (copy != null) {
                    copiesSent.incrementAndGet();
                    cluster.note(id + " sends the late second copy of \"" + firstLine(copy) + "\" in the place of the answer to "
                            + head.line + " " + head.field("bankturn-request-id"));
                    out.write(copy);
                    copy = null;
                }
                boolean close = answer(head, body, out);
                if (close) {
                    return;
                }
                copy = takeCopy();
            }
        } catch (IOException | InterruptedException e) {
            // the connection has ended
        }
    }

    private final ThreadLocal<byte[]> lastAnswer = new ThreadLocal<>();

    private byte[] takeCopy() {
        return draw(lateCopies) ? lastAnswer.get() : null;
    }

    private boolean draw(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private static String firstLine(byte[] answer) {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        return text.substring(0, text.indexOf('\r'));
    }

    /** Answers a request; returns true if the connection ends with the answer. */
    private boolean answer(Wire.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        String expected = head.field("bankturn-expect-instance");
        if (expected != null && !expected.equals(id)) {
            return send(out, "421 Misdirected Request", List.of("Bankturn-Instance-Id: " + id), "", true);
        }
        if (held.incrementAndGet() > slots + queue) {
            held.decrementAndGet();
            return send(out, "503 Service Unavailable", List.of("Bankturn-Not-Executed: 1"), "", true);
        }
        try {
            free.acquire();
            try {
                if (head.line.startsWith("GET /health ")) {
                    return send(out, "200 OK", List.of("Bankturn-Instance-Id: " + id), "", true);
                }
                String request = head.field("bankturn-request-id");
                runs.computeIfAbsent(request, key -> new AtomicInteger()).incrementAndGet();
                cluster.note(id + " runs " + request);
                Thread.sleep(workMillis);
                List<String> fields =
                        List.of("Bankturn-Request-Id: " + request, "Bankturn-Response-Seal: " + sealOf(request));
                return send(out, "200 OK", fields, bodyOf(request), !draw(unframed));
            } finally {
                free.release();
            }
        } finally {
            held.decrementAndGet();
        }
    }

    static String sealOf(String request) {
        return "seal." + request;
    }

    static String bodyOf(String request) {
        return "the answer to " + request + "\n";
    }

    private boolean send(OutputStream out, String status, List<String> fields, String body, boolean length)
            throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("HTTP/1.1 " + status);
        lines.addAll(fields);
        lines.add(length ? "Content-Length: " + body.length() : "Connection: close");
        byte[] bytes = (String.join("\r\n", lines) + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
        lastAnswer.set(bytes);
        out.write(bytes);
        return !length;
    }
}
