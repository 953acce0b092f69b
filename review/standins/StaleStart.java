import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Case: while the origin of weights is down, new weights are named, and one replica turns slow shortly before they must
 * be in service. Exits with 1 if a request started on the older version later than {@code version_ms} after the newer
 * one was acknowledged, 0 if none did, 2 if the case could not run.
 */
final class StaleStart {
    private static final String SERVICE = "assistant";
    private static final String HOST = "assistant.example";
    private static final int ENGINES = 4;
    private static final int VERSION_MILLIS = 8_000;

    /** Twice the largest dose of {@code srv_slow} in the site file. */
    private static final int SLOWDOWN = 10;

    /** When, after the acknowledgement, a replica turns slow: as the first of these requests arrives. */
    private static final int FIRST_LARGE_MILLIS = 6_330;

    private static final int LARGE_PROMPT_TOKENS = 2_400;
    private static final int SMALL_PROMPT_TOKENS = 300;
    private static final int BACKGROUND_CLIENTS = 6;
    private static final Pattern START = Pattern.compile("starts (\\S+) on version (\\d+) at (\\d+)");

    private StaleStart() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path recordFile = Path.of(arguments[0]);
        int exit = 2;
        try (Deployment deployment = new Deployment(recordFile)) {
            try {
                exit = run(deployment, recordFile, trouble);
            } catch (IOException e) {
                deployment.record("the case could not run: " + e.getMessage());
            }
            deployment.record("exit " + exit);
        }
        System.exit(exit);
    }

    private static String configuration(Deployment deployment, int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"review\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/review/\",\"route_type\":\"streaming\",\"timeout_ms\":6000,"
                + "\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + SERVICE
                + "\",\"max_attempts\":2,\"no_auth\":false,\"session_affinity\":true,\"stream_resume\":true,"
                + "\"target_gap_ms\":400}],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_path\":\"/health\",\"max_conns\":424,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":16,\"kv_capacity_tokens\":317000,\"kv_token_bytes\":262144,\"link_mbps\":400000.0,"
                + "\"stride\":5,\"models\":[{\"name\":\"" + Engine.MODEL + "\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],"
                + "\"size_mb\":149000.0,\"adapter_slots\":8,\"loads_per_s\":0.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,"
                + "\"context_per_k\":0.0322,\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,"
                + "\"report_lag_ms\":200.0,\"loads_at_once\":8,\"usual\":{\"prompt\":979,\"answer\":92},\"layers\":"
                + Engine.LAYERS + ",\"layer_mb\":4090.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"chunks\":" + Origin.PIECES
                + ",\"chunk_bytes\":" + Origin.PIECE_BYTES + "}},{\"name\":\"origin-1\",\"origin\":\"" + origin(deployment)
                + ":" + Origin.PORT + "\",\"zone\":\"hall-a\",\"link_mbps\":7.3,\"max_conns\":48}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static String origin(Deployment deployment) {
        return deployment.standin(50);
    }

    private static int run(Deployment deployment, Path recordFile, boolean trouble)
            throws IOException, InterruptedException {
        deployment.start(1);
        deployment.publish(configuration(deployment, 1), 40_000);
        Process origin = deployment.startStandin("origin", "Origin", origin(deployment));
        List<Process> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(deployment.startStandin(
                    "engine-" + number,
                    "Engine",
                    "i-" + number,
                    SERVICE,
                    deployment.standin(number),
                    Deployment.hall(number),
                    deployment.control(0),
                    deployment.control(1),
                    deployment.control(2)));
            deployment.startSide(number, SERVICE);
        }
        deployment.awaitReady(0, 20_000);
        AtomicBoolean stop = new AtomicBoolean();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int number = 0; number < BACKGROUND_CLIENTS; number++) {
            String name = "small-" + number + "-";
            clients.submit(() -> keepSending(deployment, name, stop));
        }
        Thread.sleep(6_000);

        if (trouble) {
            deployment.record("SIGKILL to the origin");
            origin.destroyForcibly();
        }
        deployment.publish(configuration(deployment, 2), 5_000);
        Thread.sleep(50);
        long named = nameVersion(deployment);
        sleepUntil(named + FIRST_LARGE_MILLIS - 100);
        if (trouble) {
            for (Process engine : engines) {
                command(engine, "slow " + SLOWDOWN + " " + LARGE_PROMPT_TOKENS);
            }
        }
        sleepUntil(named + FIRST_LARGE_MILLIS);
        clients.submit(() -> report(deployment, "large-0", LARGE_PROMPT_TOKENS));
        sleepUntil(named + VERSION_MILLIS + 2_000);
        stop.set(true);
        clients.shutdown();
        return judge(deployment, recordFile, named);
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    }

    private static void command(Process process, String line) throws IOException {
        OutputStream input = process.getOutputStream();
        input.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        input.flush();
    }

    /** Names version 2 until it is acknowledged; returns when the acknowledgement arrived. */
    private static long nameVersion(Deployment deployment) throws IOException, InterruptedException {
        byte[] request = Http.request(
                "POST", "/version-put", "Host: operator\r\n", "{\"model\":\"" + Engine.MODEL + "\",\"version\":2}");
        for (int number = 0; number < 10; number++) {
            if (Http.call(deployment.control(number % 3), Deployment.CALL_PORT, request, 1_000).status == 200) {
                long now = System.currentTimeMillis();
                deployment.record("version 2 acknowledged at " + now);
                return now;
            }
            Thread.sleep(100);
        }
        throw new IOException("version 2 was not acknowledged");
    }

    private static Void keepSending(Deployment deployment, String name, AtomicBoolean stop) throws InterruptedException {
        for (int number = 0; !stop.get(); number++) {
            Http.Answer answer = null;
            try {
                answer = send(deployment, name + number, SMALL_PROMPT_TOKENS);
            } catch (IOException e) {
                // the next request is sent
            }
            Thread.sleep(answer != null && answer.status == 200 ? 20 : 200);
        }
        return null;
    }

    private static Void report(Deployment deployment, String id, int prompt) throws IOException {
        deployment.record("client sends " + id + " at " + System.currentTimeMillis());
        Http.Answer answer = send(deployment, id, prompt);
        deployment.record("client gets for " + id + ": " + answer.status + ", weights "
                + answer.field("Bankturn-Weight-Versions") + ", " + answer.end);
        return null;
    }

    private static Http.Answer send(Deployment deployment, String id, int prompt) throws IOException {
        byte[] request = Http.request(
                "POST",
                "/review/x",
                "Host: " + HOST + "\r\nBankturn-Request-Id: " + id + "\r\nBankturn-Deadline-Ms: 6033\r\nBankturn-Model: "
                        + Engine.MODEL + "\r\nBankturn-Token-Usage: " + prompt + ",200\r\nBankturn-Prompt-Prefix: a1:40,"
                        + Integer.toHexString(id.hashCode()) + ":" + (prompt - 40) + "\r\nAuthorization: Token key-1\r\n",
                "x");
        return Http.call(deployment.entry(0), Deployment.CALL_PORT, request, 8_000);
    }

    private static int judge(Deployment deployment, Path recordFile, long named) throws IOException {
        int starts = 0;
        int late = 0;
        for (String line : Files.readAllLines(recordFile)) {
            Matcher start = START.matcher(line);
            if (!start.find()) {
                continue;
            }
            starts++;
            long after = Long.parseLong(start.group(3)) - named;
            if (Integer.parseInt(start.group(2)) < 2 && after > VERSION_MILLIS) {
                late++;
                deployment.record("BROKEN: " + start.group(1) + " started on version " + start.group(2) + ", " + after
                        + " ms after version 2 was acknowledged");
            }
        }
        deployment.record(starts + " requests started, " + late + " of them too late on the older version");
        return starts == 0 ? 2 : late > 0 ? 1 : 0;
    }
}
