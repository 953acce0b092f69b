import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas send second copies of their answers late; a health answer has no request id. Exits with 1 if MIXED broke. */
final class LateCopy {
    private static final int REPLICAS = 5;

    /** 3 of 5 replicas: garble, extra late, share 0.6. */
    private static final int COPYING = 3;

    private static final double COPIES = 0.03;

    /** 2 of 5 replicas: garble, unframed, with the default share of 0.5. */
    private static final int WITHOUT_LENGTH = 2;

    private static final double UNFRAMED = 0.05;
    private static final int WINDOWS = 13;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int CLIENTS = 16;
    private static final String KEY = "jnbanfqasnmgkcuyj8pj";

    private final Cluster cluster;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger refusedThoughRun = new AtomicInteger();
    private final Map<String, String> refused = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    private LateCopy(Cluster cluster) {
        this.cluster = cluster;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Cluster cluster = new Cluster(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]), 3);
        try {
            System.exit(new LateCopy(cluster).run(trouble));
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
        List<Replica2> replicas = new ArrayList<>();
        for (int each = 1; each <= REPLICAS; each++) {
            replicas.add(new Replica2(cluster, each, "app-a", 6, 24, 60, runs));
        }
        if (!cluster.awaitReady(1, 10_000)) {
            cluster.say("the entry process is not ready");
            return 2;
        }
        Thread.sleep(2_500);
        List<Thread> clients = new ArrayList<>();
        for (int each = 0; each < CLIENTS; each++) {
            String name = String.format("%02x", each);
            Thread client = new Thread(() -> client(name));
            client.start();
            clients.add(client);
        }
        for (int window = 0; window < WINDOWS; window++) {
            Thread.sleep(PAUSE_MILLIS);
            cluster.note(trouble ? "replicas begin to garble" : "no disruption");
            replicas.subList(0, COPYING).forEach(each -> each.lateCopies = trouble ? COPIES : 0);
            replicas.subList(0, WITHOUT_LENGTH).forEach(each -> each.unframed = trouble ? UNFRAMED : 0);
            Thread.sleep(WINDOW_MILLIS);
            replicas.forEach(each -> each.lateCopies = 0);
            replicas.forEach(each -> each.unframed = 0);
            cluster.note("replicas garble no more");
        }
        stopping = true;
        for (Thread client : clients) {
            client.join(10_000);
        }
        Thread.sleep(500);
        refused.forEach((request, status) -> {
            if (runs.containsKey(request)) {
                refusedThoughRun.incrementAndGet();
                cluster.note("BROKEN: " + request + " was answered " + status + " and has run");
            }
        });
        long twice = runs.values().stream().filter(each -> each.get() > 1).count();
        int copies = replicas.stream().mapToInt(each -> each.copiesSent.get()).sum();
        cluster.say("requests: served " + served + ", other answers " + other + "; second copies sent " + copies
                + "; foreign successes (MIXED) " + mixed + "; refused though run (REFUSED) " + refusedThoughRun
                + "; run twice " + twice);
        if (served.get() < 200) {
            cluster.say("too few requests were served for a verdict");
            return 2;
        }
        return mixed.get() > 0 || refusedThoughRun.get() > 0 || twice > 0 ? 1 : 0;
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-a\",\"host\":\"voka93.example\",\"path_prefix\":\"/filo73/\","
                + "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":389,\"priority\":2,"
                + "\"service\":\"app-a\",\"max_attempts\":1,\"no_auth\":false,\"session_affinity\":false}],"
                + "\"services\":[{\"name\":\"app-a\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** A client that keeps its connection, sends one request after another and never repeats one. */
    private void client(String name) {
        int number = 0;
        while (!stopping) {
            try (Socket socket = new Socket()) {
                socket.connect(cluster.front(1), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(4_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean kept = true;
                while (kept && !stopping) {
                    String id = "9c41d0" + name + String.format("%08x", number++);
                    kept = request(socket, in, id);
                }
            } catch (IOException e) {
                other.incrementAndGet();
                cluster.note("client " + name + ": " + e);
            }
        }
    }

    private boolean request(Socket socket, BufferedInputStream in, String id) throws IOException {
        byte[] body = ("book a chair for " + id).getBytes(StandardCharsets.ISO_8859_1);
        String head = "POST /filo73/de11/2f HTTP/1.1\r\nHost: voka93.example\r\nBankturn-Request-Id: " + id
                + "\r\nBankturn-Deadline-Ms: 4031\r\nAuthorization: Token " + KEY + "\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        cluster.note("sent " + id);
        socket.getOutputStream().write(Wire.concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
        Wire.Answer answer = Wire.readAnswer(in);
        cluster.note("answered " + id + " " + answer.status);
        if (answer.status / 100 == 2) {
            boolean own = Replica2.sealOf(id).equals(answer.head.field("bankturn-response-seal"))
                    && Replica2.bodyOf(id).equals(answer.text());
            (own ? served : mixed).incrementAndGet();
            if (!own) {
                cluster.note("BROKEN: " + id + " got a success that its replica did not give: seal "
                        + answer.head.field("bankturn-response-seal") + ", body \"" + answer.text() + "\"");
            }
        } else {
            other.incrementAndGet();
            if (answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421) {
                refused.put(id, Integer.toString(answer.status));
            }
        }
        return !"close".equalsIgnoreCase(answer.head.field("connection"));
    }
}
