import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A grown configuration changes in storms; now and then a control process that does not lead is killed and starts again.
 * Exits with 1 if control processes that nothing was done to ended by themselves as often as the rule Fault says.
 */
final class ReturningFollower {
    /** big_config, count = 350. */
    private static final int ROUTES_MORE = 350;

    private static final int GROWTHS = 30;

    /** config_storm, gap_s = 0.06, for_s = 1.5. */
    private static final int STORM_CHANGES = 25;

    private static final long STORM_GAP_MILLIS = 60;

    /** node_kill, on = core, count = 1, for_s = 3.5. */
    private static final long DOWN_MILLIS = 3_400;

    /** catch_up_s, 4, and a margin. */
    private static final long CATCH_UP_MILLIS = 4_200;

    private static final int KILLS = 9;

    /** An end within a second of a disruption on the machine, here of the start after a kill, does not count. */
    private static final long AFTER_DISRUPTION_MILLIS = 1_000;

    /** Ends of processes that ran for long are told apart in the result; sooner ends may be of reading the log back. */
    private static final long LONG_MILLIS = 5_000;

    private static final long RESTART_MILLIS = 600;
    private static final int FAULT_ENDS = 3;
    private static final int FAULT_MACHINES = 2;
    private static final long LAST_MILLIS = 95_000;

    /** Calls that hang are not awaited beyond this time. */
    private static final long LIMIT_MILLIS = 112_000;

    private final Cluster cluster;
    private final StringBuilder routes = new StringBuilder();
    private final Random random = new Random(5);
    private final AtomicInteger version = new AtomicInteger();
    private final AtomicInteger acknowledged = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final int[] ownEnds = new int[4];
    private final int[] endsAfterLong = new int[4];
    private final boolean[] startedAfterKill = new boolean[4];
    private final long[] startedMillis = new long[4];
    private final boolean[] killed = new boolean[4];
    private final boolean[] ended = new boolean[4];
    private final long[] restartMillis = new long[4];
    private final List<Thread> calls = new CopyOnWriteArrayList<>();
    private Thread lastStorm;
    private volatile boolean stopping;
    private volatile String document = "";
    private int routeCount;

    private ReturningFollower(Cluster cluster) {
        this.cluster = cluster;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Cluster cluster = new Cluster(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]), 3);
        try {
            System.exit(new ReturningFollower(cluster).run(trouble));
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private int run(boolean trouble) throws Exception {
        for (int each = 1; each <= 3; each++) {
            cluster.start("core-" + each, true);
        }
        addRoutes(5);
        if (!put(1, 15_000)) {
            cluster.say("the deployment did not start");
            return 2;
        }
        for (int each = 0; each < GROWTHS; each++) {
            addRoutes(ROUTES_MORE);
            if (!put(1 + each % 3, 10_000)) {
                cluster.say("a larger configuration was not acknowledged");
                return 2;
            }
        }
        cluster.say("the configuration has " + routeCount + " routes and " + document.length() + " bytes");
        Thread limit = new Thread(this::endInTime);
        limit.setDaemon(true);
        limit.start();
        Thread platform = new Thread(this::restartEnded);
        platform.setDaemon(true);
        platform.start();
        for (int kill = 0; kill < KILLS && cluster.millis() < LAST_MILLIS && !isFault(); kill++) {
            int follower = follower();
            if (trouble) {
                kill(follower);
            }
            long downUntil = cluster.millis() + DOWN_MILLIS;
            storm(follower);
            sleepUntil(downUntil - DOWN_MILLIS / 2);
            storm(follower);
            sleepUntil(downUntil);
            if (trouble) {
                start(follower);
            }
            storm(follower);
            sleepUntil(downUntil + CATCH_UP_MILLIS);
        }
        stopping = true;
        int ends = ownEnds[1] + ownEnds[2] + ownEnds[3];
        cluster.say("changes acknowledged " + acknowledged + ", calls without acknowledgement " + unanswered
                + "; control processes that nothing was done to ended by themselves: " + ownEnds[1] + ", " + ownEnds[2]
                + " and " + ownEnds[3] + " times, in all " + ends + "; of these, after more than " + LONG_MILLIS + " ms: "
                + (endsAfterLong[1] + endsAfterLong[2] + endsAfterLong[3]) + " times");
        for (int each = 1; each <= 3; each++) {
            cluster.log("core-" + each).lines().filter(line -> line.startsWith("Terminating")).distinct().map(line -> "control process: " + line).forEach(cluster::say);
        }
        if (acknowledged.get() < 60) {
            cluster.say("too few changes were acknowledged for a verdict");
            return 2;
        }
        return isFault() ? 1 : 0;
    }

    /** Returns true if processes ended by themselves three times on each of two machines of the core, which has three. */
    private boolean isFault() {
        int machines = 0;
        for (int each = 1; each <= 3; each++) {
            machines += ownEnds[each] >= FAULT_ENDS ? 1 : 0;
        }
        return machines >= FAULT_MACHINES;
    }

    private void endInTime() {
        try {
            Thread.sleep(LIMIT_MILLIS - cluster.millis());
            cluster.say("time is up; own ends so far: " + ownEnds[1] + ", " + ownEnds[2] + " and " + ownEnds[3]);
            System.exit(isFault() ? 1 : 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts ended processes again as the platform does, and counts those that nothing was done to. */
    private void restartEnded() {
        try {
            while (!stopping) {
                for (int each = 1; each <= 3; each++) {
                    synchronized (this) {
                        if (!killed[each] && !ended[each] && !cluster.process("core-" + each).isAlive()) {
                            long life = cluster.millis() - startedMillis[each];
                            boolean counts = !startedAfterKill[each] || life > AFTER_DISRUPTION_MILLIS;
                            ownEnds[each] += counts ? 1 : 0;
                            endsAfterLong[each] += life >= LONG_MILLIS ? 1 : 0;
                            startedAfterKill[each] = false;
                            cluster.note("core-" + each + " has ended by itself with code "
                                    + cluster.process("core-" + each).exitValue() + " after " + life + " ms");
                            restartMillis[each] = cluster.millis() + RESTART_MILLIS;
                            ended[each] = true;
                        }
                        if (!killed[each] && ended[each] && cluster.millis() >= restartMillis[each]) {
                            ended[each] = false;
                            startedMillis[each] = cluster.millis();
                            cluster.start("core-" + each, false);
                        }
                    }
                }
                Thread.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            cluster.note("platform: " + e);
        }
    }

    private synchronized void kill(int follower) throws IOException, InterruptedException {
        killed[follower] = true;
        cluster.signal("core-" + follower, "KILL");
        cluster.process("core-" + follower).waitFor();
    }

    private synchronized void start(int follower) throws IOException {
        startedMillis[follower] = cluster.millis();
        startedAfterKill[follower] = true;
        cluster.start("core-" + follower, false);
        killed[follower] = false;
        ended[follower] = false;
    }

    private void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - cluster.millis()));
    }

    /** Returns the number of a control process that does not lead, as far as the logs tell, the one that has run for longest. */
    private int follower() throws IOException {
        int leader = 0;
        long since = -1;
        for (int each = 1; each <= 3; each++) {
            for (String line : cluster.log("core-" + each).split("\n")) {
                if (line.contains("\"event\":\"leads\"")) {
                    long at = Long.parseLong(line.replaceAll(".*\"at\":(\\d+).*", "$1"));
                    leader = at > since ? each : leader;
                    since = Math.max(since, at);
                }
            }
        }
        cluster.note("core-" + leader + " leads");
        int first = leader == 1 ? 2 : 1;
        int second = leader == 3 ? 2 : 3;
        return startedMillis[first] <= startedMillis[second] ? first : second;
    }

    // ---- the operators

    /** Changes the configuration at the given gap through the processes that are not disturbed, unless a storm is under way. */
    private void storm(int disturbed) {
        if (lastStorm != null && lastStorm.isAlive()) {
            return;
        }
        lastStorm = new Thread(() -> {
            try {
                for (int each = 0; each < STORM_CHANGES && !stopping; each++) {
                    int node = 1 + (disturbed + each % 2) % 3;
                    Thread call = new Thread(() -> put(node, 4_000));
                    call.setDaemon(true);
                    call.start();
                    calls.add(call);
                    Thread.sleep(STORM_GAP_MILLIS);
                    while (calls.stream().filter(Thread::isAlive).count() >= 8) {
                        Thread.sleep(5);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        lastStorm.setDaemon(true);
        lastStorm.start();
    }

    private boolean put(int firstNode, long timeoutMillis) {
        int number = version.incrementAndGet();
        String sent = "{\"version\":" + number + document;
        long end = cluster.millis() + timeoutMillis;
        for (int node = firstNode; cluster.millis() < end; node = 1 + node % 3) {
            try {
                int status = Wire.call(cluster.control(node), "POST", "/config/put", sent, 2_000).status;
                cluster.note("version " + number + " sent to core-" + node + ": " + status);
                if (status == 200) {
                    acknowledged.incrementAndGet();
                    return true;
                }
            } catch (IOException e) {
                cluster.note("version " + number + " sent to core-" + node + ": " + e);
            }
            unanswered.incrementAndGet();
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return false;
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
        document = ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"app-a\",\"health_path\":\"/health\","
                + "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private String word(int length) {
        StringBuilder word = new StringBuilder();
        for (int each = 0; each < length; each++) {
            word.append("abcdefghijklmnopqrstuvwxyz0123456789".charAt(random.nextInt(36)));
        }
        return word.toString();
    }
}
