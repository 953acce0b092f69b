import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A grown configuration changes some hundred times; then all processes are killed and start again. Exits with 1 if it is gone. */
final class GrownConfiguration {
    /** The disruption's largest dose on the site: big_config, count = 350. */
    private static final int ROUTES_MORE = 350;

    private static final int GROWTHS = 20;
    private static final int CHANGES = 400;
    private static final int MIN_CHANGES = 380;
    private static final int OPERATORS = 3;
    private static final long CHANGES_MILLIS = 65_000;

    /** recovery_s is 12; the processes are given twice that. */
    private static final long RECOVERY_MILLIS = 24_000;

    /** The platform starts a process that has ended again after a short delay. */
    private static final long RESTART_MILLIS = 600;

    private final Cluster cluster;
    private final StringBuilder routes = new StringBuilder();
    private final Random random = new Random(5);
    private final AtomicInteger newestAcknowledged = new AtomicInteger();
    private final AtomicInteger acknowledged = new AtomicInteger();
    private int routeCount;

    private GrownConfiguration(Cluster cluster) {
        this.cluster = cluster;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Cluster cluster = new Cluster(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]), 3);
        try {
            System.exit(new GrownConfiguration(cluster).run(trouble));
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
        addRoutes(5);
        if (!put(1, 1, 15_000) || !cluster.awaitReady(1, 10_000)) {
            cluster.say("the deployment did not start");
            return 2;
        }
        for (int each = 0; each < GROWTHS; each++) {
            addRoutes(ROUTES_MORE);
            if (!put(2 + each, 1 + each % 3, 10_000)) {
                cluster.say("a larger configuration was not acknowledged");
                return 2;
            }
        }
        cluster.say("the configuration has " + routeCount + " routes and " + document(100).length() + " bytes");
        change();
        if (acknowledged.get() < MIN_CHANGES) {
            cluster.say("only " + acknowledged + " changes were acknowledged in time");
            return 2;
        }
        cluster.say(acknowledged + " changes acknowledged, the newest version is " + newestAcknowledged);
        int ends = 0;
        boolean read = read();
        cluster.say("read back before the final fault: " + read);
        if (!read) {
            return 2;
        }
        long recoveredMillis = -1;
        if (trouble) {
            killAll();
        }
        long end = cluster.millis() + RECOVERY_MILLIS;
        while (recoveredMillis < 0 && cluster.millis() < end) {
            ends += restartEnded();
            recoveredMillis = read() ? cluster.millis() : -1;
            Thread.sleep(100);
        }
        boolean ready = recoveredMillis >= 0 && cluster.awaitReady(1, 5_000);
        for (int each = 1; each <= 3; each++) {
            cluster.log("core-" + each).lines().filter(line -> !line.startsWith("{")).distinct().map(line -> "control process: " + line).forEach(cluster::say);
        }
        cluster.say((recoveredMillis >= 0
                        ? "version " + newestAcknowledged + " was read back " + (recoveredMillis - end + RECOVERY_MILLIS) + " ms after the processes were back"
                        : "LOST: version " + newestAcknowledged + " could not be read back within " + RECOVERY_MILLIS + " ms after the processes were back")
                + "; control processes ended by themselves " + ends + " times; entry process ready: " + ready);
        return recoveredMillis >= 0 ? 0 : 1;
    }

    private void killAll() throws Exception {
        for (String each : List.of("core-1", "core-2", "core-3", "front-1")) {
            cluster.signal(each, "KILL");
        }
        for (String each : List.of("core-1", "core-2", "core-3", "front-1")) {
            cluster.process(each).waitFor();
        }
        Thread.sleep(RESTART_MILLIS);
        for (String each : List.of("core-1", "core-2", "core-3", "front-1")) {
            cluster.start(each, false);
        }
    }

    /** Starts ended control processes again as the platform does; returns how many had ended. */
    private int restartEnded() throws Exception {
        int ended = 0;
        for (int each = 1; each <= 3; each++) {
            Process process = cluster.process("core-" + each);
            if (!process.isAlive()) {
                ended++;
                cluster.note("core-" + each + " has ended by itself with code " + process.exitValue());
            }
        }
        if (ended > 0) {
            Thread.sleep(RESTART_MILLIS);
            for (int each = 1; each <= 3; each++) {
                if (!cluster.process("core-" + each).isAlive()) {
                    cluster.start("core-" + each, false);
                }
            }
        }
        return ended;
    }

    // ---- the operator

    /** Changes the configuration again and again; a few orders are under way at once. */
    private void change() throws InterruptedException {
        AtomicInteger next = new AtomicInteger(100);
        long end = cluster.millis() + CHANGES_MILLIS;
        List<Thread> operators = new ArrayList<>();
        for (int each = 0; each < OPERATORS; each++) {
            int node = 1 + each;
            Thread operator = new Thread(() -> {
                for (int version = next.getAndIncrement();
                        version < 100 + CHANGES && cluster.millis() < end;
                        version = next.getAndIncrement()) {
                    put(version, node, 10_000);
                }
            });
            operator.start();
            operators.add(operator);
        }
        for (Thread operator : operators) {
            operator.join();
        }
    }

    /** Sends a configuration until it is acknowledged. */
    private boolean put(int version, int firstNode, long timeoutMillis) {
        String document = document(version);
        long end = cluster.millis() + timeoutMillis;
        for (int node = firstNode; cluster.millis() < end; node = 1 + node % 3) {
            try {
                int status = Wire.call(cluster.control(node), "POST", "/config/put", document, 5_000).status;
                cluster.note("version " + version + " sent to core-" + node + ": " + status);
                if (status == 200) {
                    acknowledged.incrementAndGet();
                    newestAcknowledged.accumulateAndGet(version, Math::max);
                    return true;
                }
            } catch (IOException e) {
                cluster.note("version " + version + " sent to core-" + node + ": " + e);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return false;
            }
        }
        return false;
    }

    /** Reads the configuration at each control process; returns true if one gives the newest acknowledged version. */
    private boolean read() {
        for (int node = 1; node <= 3; node++) {
            try {
                Wire.Answer answer = Wire.call(cluster.control(node), "GET", "/config/get", null, 2_000);
                if (answer.status == 200) {
                    boolean newest = answer.text().startsWith("{\"version\":" + newestAcknowledged + ",");
                    cluster.note("core-" + node + " gives the newest version: " + newest);
                    return newest;
                }
                cluster.note("core-" + node + " answers the read with " + answer.status);
            } catch (IOException e) {
                cluster.note("core-" + node + " does not answer the read: " + e.getMessage());
            }
        }
        return false;
    }

    private void addRoutes(int more) {
        for (int each = 0; each < more; each++) {
            routes.append(routeCount++ == 0 ? "" : ",").append("{\"name\":\"r-").append(word(7)).append("\",\"host\":\"")
                    .append(word(5)).append(10 + random.nextInt(90)).append(".example\",\"path_prefix\":\"/").append(word(6))
                    .append('/').append(word(4)).append("/\",\"route_type\":\"streaming\",\"timeout_ms\":6000,")
                    .append("\"target_latency_ms\":402,\"priority\":1,\"service\":\"app-a\",\"max_attempts\":2,")
                    .append("\"no_auth\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":400}");
        }
    }

    private String word(int length) {
        StringBuilder word = new StringBuilder();
        for (int each = 0; each < length; each++) {
            word.append("abcdefghijklmnopqrstuvwxyz0123456789".charAt(random.nextInt(36)));
        }
        return word.toString();
    }

    private String document(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"app-a\","
                + "\"health_path\":\"/health\",\"max_conns\":" + (100 + version % 2) + ",\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }
}
