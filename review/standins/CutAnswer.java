import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Case: a replica that has said that it leaves crashes in the middle of answers that have no length. Exits with 1 if a
 * client got a success whose body is not the replica's whole body, 0 if none did, 2 if the case could not run. With
 * DRAIN=0 the replica crashes without having said that it leaves, for comparison.
 */
final class CutAnswer {
    private static final String SERVICE = "booking-core";
    private static final String HOST = "booking.example";
    private static final List<String> ROUTES = List.of("read", "book", "stream");
    private static final int REST_AFTER_MILLIS = 4_000;
    private static final int DEADLINE_MILLIS = 6_000;

    /** The time between the notice and the crash; that of the pages' variant {@code spot}. */
    private static final int NOTICE_MILLIS = 2_000;

    private CutAnswer() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            try {
                exit = run(deployment, trouble);
            } catch (IOException e) {
                deployment.record("the case could not run: " + e.getMessage());
            }
            deployment.record("exit " + exit);
        }
        System.exit(exit);
    }

    private static String route(String name, String type) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,"
                + "\"service\":\"" + SERVICE + "\",\"max_attempts\":2,\"no_auth\":false}";
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[" + route("read", "idempotent") + "," + route("book", "non_idempotent") + ","
                + route("stream", "streaming") + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static int run(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
        deployment.start(2);
        deployment.publish(configuration(), 40_000);
        deployment.awaitReady(0, 20_000);
        Process replica = deployment.startStandin(
                "replica",
                "Replica",
                "i-1",
                SERVICE,
                deployment.standin(0),
                deployment.control(0),
                deployment.control(1),
                deployment.control(2));
        awaitServed(deployment);

        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Boolean>> results = new ArrayList<>();
        for (String route : ROUTES) {
            results.add(clients.submit(() -> keepsRule(deployment, route, "req-" + route, REST_AFTER_MILLIS)));
        }
        Thread.sleep(500);
        if (!"0".equals(System.getenv("DRAIN"))) {
            command(replica, "drain");
        }
        Thread.sleep(NOTICE_MILLIS);
        if (trouble) {
            deployment.record("SIGKILL to the replica");
            replica.destroyForcibly();
        } else {
            command(replica, "end");
        }
        boolean kept = true;
        for (Future<Boolean> result : results) {
            try {
                kept &= result.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException(e.getCause());
            }
        }
        clients.shutdown();
        return kept ? 0 : 1;
    }

    private static void command(Process process, String line) throws IOException {
        OutputStream input = process.getOutputStream();
        input.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        input.flush();
    }

    private static void awaitServed(Deployment deployment) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 100; attempt++) {
            if (send(deployment, "read", "warm-" + attempt, 0).status == 200) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("the replica is not served");
    }

    private static Http.Answer send(Deployment deployment, String route, String id, long restAfterMillis)
            throws IOException {
        byte[] request = Http.request(
                "POST",
                "/" + route + "/" + restAfterMillis,
                "Host: " + HOST + "\r\nBankturn-Request-Id: " + id + "\r\nBankturn-Deadline-Ms: " + DEADLINE_MILLIS
                        + "\r\nAuthorization: Token key-1\r\n",
                "x");
        return Http.call(deployment.entry(0), Deployment.CALL_PORT, request, DEADLINE_MILLIS + 1_000);
    }

    /** Sends a request; returns false if its answer is a success without the seal or without the whole body. */
    private static boolean keepsRule(Deployment deployment, String route, String id, long restAfterMillis)
            throws IOException {
        deployment.record("client sends " + id);
        Http.Answer answer = send(deployment, route, id, restAfterMillis);
        byte[] whole = Replica.body(id, route.equals("stream"));
        deployment.record("client gets for " + id + ": " + answer.status + ", seal "
                + answer.field("Bankturn-Response-Seal") + ", " + answer.body.length + " of " + whole.length + " bytes, "
                + answer.end);
        boolean success = answer.status / 100 == 2 && answer.complete;
        boolean kept = !success
                || (Arrays.equals(answer.body, whole)
                        && ("seal-" + id).equals(answer.field("Bankturn-Response-Seal")));
        if (!kept) {
            deployment.record("BROKEN: " + id + " ended as a complete success without the replica's whole body");
        }
        return kept;
    }
}
