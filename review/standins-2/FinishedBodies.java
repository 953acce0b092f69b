import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send long bodies, each answered at once; for some seconds they send 1.7 times as many. Exits with 1 if LOST broke. */
final class FinishedBodies {
    private static final int REPLICAS = 3;

    /** A quarter of max_body_bytes. */
    private static final int BODY_BYTES = 1 << 20;

    private static final double UPLOADS_PER_SECOND = 18;

    /** The disruption: burst, x = 1.7, for_s = 3.0. */
    private static final double BURST = 1.7;

    private static final int BURSTS = 6;
    private static final long BURST_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long USUAL_MILLIS = 12_000;
    private static final int UPLOADERS = 12;
    private static final int BOOKERS = 10;

    /** The rule allows three. */
    private static final int ALLOWED = 3;

    private final Cluster cluster;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unanswered = new ConcurrentHashMap<>();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger bookings = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger atOnce = new AtomicInteger();
    private final AtomicInteger mostAtOnce = new AtomicInteger();
    private final byte[] upload = new byte[BODY_BYTES];
    private volatile double rate = UPLOADS_PER_SECOND;
    private volatile boolean stopping;
    private double nextMillis;

    private FinishedBodies(Cluster cluster) {
        this.cluster = cluster;
        new Random(1).nextBytes(upload);
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Cluster cluster = new Cluster(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]), 3);
        try {
            System.exit(new FinishedBodies(cluster).run(trouble));
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private int run(boolean trouble) throws Exception {
        for (int each = 1; each <= 3; each++) {
            cluster.start("core-" + each, true);
        }
        cluster.start("front-1", true);
        if (!cluster.operator("POST", "/config/put", configuration(), 15_000)) {
            cluster.say("the configuration was not acknowledged");
            return 2;
        }
        for (int each = 1; each <= REPLICAS; each++) {
            new Replica2(cluster, each, "app-a", 16, 24, 60, runs);
        }
        if (!cluster.awaitReady(1, 10_000)) {
            cluster.say("the entry process is not ready");
            return 2;
        }
        Thread.sleep(2_500);
        nextMillis = cluster.millis();
        List<Thread> clients = new ArrayList<>();
        for (int each = 0; each < UPLOADERS + BOOKERS; each++) {
            boolean uploads = each < UPLOADERS;
            String name = String.format("%02x", each);
            Thread client = new Thread(() -> client(name, uploads));
            client.start();
            clients.add(client);
        }
        Thread.sleep(USUAL_MILLIS);
        int usual = uploads.get();
        boolean aliveBefore = cluster.process("front-1").isAlive();
        for (int burst = 0; burst < BURSTS && cluster.process("front-1").isAlive(); burst++) {
            cluster.note(trouble ? "burst begins" : "no disruption");
            rate = UPLOADS_PER_SECOND * (trouble ? BURST : 1);
            Thread.sleep(BURST_MILLIS);
            rate = UPLOADS_PER_SECOND;
            cluster.note("burst ends");
            Thread.sleep(PAUSE_MILLIS);
        }
        stopping = true;
        for (Thread client : clients) {
            client.join(8_000);
        }
        Process entry = cluster.process("front-1");
        String end = entry.isAlive() ? "runs" : "ended by itself with code " + entry.exitValue();
        if (!entry.isAlive()) {
            cluster.log("front-1").lines().filter(line -> !line.startsWith("{")).forEach(line -> cluster.say("entry process: " + line));
        }
        long lost = unanswered.keySet().stream().filter(runs::containsKey).count();
        cluster.say("before the disruption " + usual + " long bodies answered; in all " + uploads + " long bodies and "
                + bookings + " bookings answered, " + refused + " refused; at most " + mostAtOnce
                + " long bodies at once; the entry process " + end
                + "; handed to a replica from a kept connection that then ended without an answer (LOST): " + lost);
        if (!aliveBefore || usual < 100) {
            cluster.say("no verdict: the usual traffic was not served");
            return 2;
        }
        return lost > ALLOWED ? 1 : 0;
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-a\",\"host\":\"voka93.example\",\"path_prefix\":\"/filo73/\","
                + "\"route_type\":\"non_idempotent\",\"timeout_ms\":6000,\"target_latency_ms\":389,\"priority\":2,"
                + "\"service\":\"app-a\",\"max_attempts\":1,\"no_auth\":true,\"session_affinity\":false}],"
                + "\"services\":[{\"name\":\"app-a\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    /** Waits until the next long body is due. */
    private synchronized long takeTurn() {
        nextMillis = Math.max(nextMillis, cluster.millis() - 500.0) + 1_000 / rate;
        return (long) nextMillis;
    }

    /** A client that keeps its connection and sends one request after another. */
    private void client(String name, boolean uploads) {
        int number = 0;
        while (!stopping) {
            String id = "";
            boolean kept = false;
            try (Socket socket = new Socket()) {
                socket.connect(cluster.front(1), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(7_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && !stopping) {
                    if (uploads) {
                        Thread.sleep(Math.max(0, takeTurn() - cluster.millis()));
                    }
                    id = "9c41d0" + name + String.format("%08x", number++);
                    open = request(socket, in, id, uploads ? upload : ("book a chair for " + id).getBytes());
                    kept = true;
                    id = "";
                }
            } catch (IOException e) {
                if (kept && !id.isEmpty()) {
                    unanswered.put(id, true);
                    cluster.note("no answer to " + id + ": " + e);
                }
                if (!cluster.process("front-1").isAlive()) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean request(Socket socket, BufferedInputStream in, String id, byte[] body) throws IOException {
        boolean isLong = body == upload;
        String head = "POST /filo73/de11/2f HTTP/1.1\r\nHost: voka93.example\r\nBankturn-Request-Id: " + id
                + "\r\nBankturn-Deadline-Ms: 6033\r\nContent-Length: " + body.length + "\r\n\r\n";
        cluster.note("sent " + id + " with " + body.length + " bytes");
        if (isLong) {
            mostAtOnce.accumulateAndGet(atOnce.incrementAndGet(), Math::max);
        }
        Wire.Answer answer;
        try {
            socket.getOutputStream().write(Wire.concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
            answer = Wire.readAnswer(in);
        } finally {
            atOnce.addAndGet(isLong ? -1 : 0);
        }
        cluster.note("answered " + id + " " + answer.status);
        if (answer.status == 200) {
            (isLong ? uploads : bookings).incrementAndGet();
        } else {
            refused.incrementAndGet();
        }
        return !"close".equalsIgnoreCase(answer.head.field("connection"));
    }
}
