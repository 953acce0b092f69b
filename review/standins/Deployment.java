import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A small deployment of the project's programs on loopback addresses, started with the commands of the deploy file. */
final class Deployment implements AutoCloseable {
    static final int CALL_PORT = 8000;
    static final int READY_PORT = 8002;
    private static final int NODE_PORT = 7700;
    private static final int METRICS_PORT = 7715;
    private static final String[] HALLS = {"hall-a", "hall-b", "hall-c", "hall-d", "hall-e"};

    private final Path folder;
    private final Path root;
    private final String network;
    private final List<Process> processes = new ArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private List<Integer> seeds = List.of(0, 1, 2);
    private int tolerance = 1;
    private int catchUpSeconds = 4;
    private int recoverySeconds = 12;

    Deployment(Path recordFile) throws IOException {
        root = Path.of("").toAbsolutePath();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        network = freeNetwork();
    }

    /** Returns a loopback network whose addresses have the ports free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String candidate = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
            if (isFree(candidate)) {
                return candidate;
            }
        }
        throw new IOException("no free loopback network");
    }

    private static boolean isFree(String network) {
        for (int port : new int[] {CALL_PORT, READY_PORT, NODE_PORT, METRICS_PORT}) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(network + "1"))) {
                probe.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Returns the address of a control process, numbered from 0. */
    String control(int number) {
        return network + (1 + number);
    }

    /** Returns the address of an entry process, numbered from 0. */
    String entry(int number) {
        return network + (11 + number);
    }

    /** Returns the address of a stand-in, numbered from 0. */
    String standin(int number) {
        return network + (101 + number);
    }

    /** Sets the control processes that the settings of processes started from now on name as seeds. */
    void setSeeds(List<Integer> numbers) {
        seeds = numbers;
    }

    /** Sets how many machines with a disk may be lost at a time, and the bounds that go with it. */
    void setTolerance(int machines, int catchUp, int recovery) {
        tolerance = machines;
        catchUpSeconds = catchUp;
        recoverySeconds = recovery;
    }

    Path folder() {
        return folder;
    }

    synchronized void record(String line) {
        record.printf("%7.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        record.flush();
    }

    /** Starts three control processes and some entry processes. */
    void start(int entries) throws IOException {
        start(3, entries);
    }

    /** Starts control and entry processes. */
    void start(int controls, int entries) throws IOException {
        for (int number = 0; number < controls; number++) {
            startControl(number, true);
        }
        for (int number = 0; number < entries; number++) {
            startEntry(number);
        }
    }

    Process startControl(int number, boolean bootstrap) throws IOException {
        return startControl(number, number, bootstrap);
    }

    /** Starts a control process in the hall of the given one, which it may replace. */
    Process startControl(int number, int hallOf, boolean bootstrap) throws IOException {
        return startControl(number, hallOf, bootstrap, "data-" + number);
    }

    /** Starts a control process again at its address, with an empty data folder. */
    Process startControlWithEmptyDisk(int number) throws IOException {
        return startControl(number, number, false, "data-" + number + "-empty");
    }

    private Process startControl(int number, int hallOf, boolean bootstrap, String dataFolder) throws IOException {
        String ip = control(number);
        List<String> lines = common("core-" + number, "control", ip, HALLS[hallOf % HALLS.length], bootstrap);
        lines.add("machine_class=core");
        lines.add("listen.control=" + ip + ":" + CALL_PORT);
        lines.add("data_dir=" + Files.createDirectories(folder.resolve(dataFolder)));
        return startRole("control", "core-" + number, lines);
    }

    Process startEntry(int number) throws IOException {
        String ip = entry(number);
        List<String> lines = common("front-" + number, "front", ip, hall(number), true);
        lines.add("machine_class=front");
        lines.add("listen.front=" + ip + ":" + CALL_PORT);
        lines.add("listen.ready=" + ip + ":" + READY_PORT);
        return startRole("entry", "front-" + number, lines);
    }

    private static String hall(int number) {
        return HALLS[number % HALLS.length];
    }

    private List<String> common(String name, String serves, String ip, String hall, boolean bootstrap) {
        return new ArrayList<>(List.of(
                "node_name=" + name,
                "role=" + serves,
                "serves=" + serves,
                "ip=" + ip,
                "zone=" + hall,
                "region=region-" + hall,
                "zones.hall-a=region-hall-a",
                "zones.hall-b=region-hall-b",
                "zones.hall-c=region-hall-c",
                "zones.hall-d=region-hall-d",
                "zones.hall-e=region-hall-e",
                "internal_ports=" + NODE_PORT + "," + METRICS_PORT,
                "seeds=" + seeds.stream().map(seed -> control(seed) + ":" + CALL_PORT).collect(Collectors.joining(",")),
                "bootstrap=" + bootstrap,
                "fault_counted=" + serves.equals("control"),
                "limits.cpu_share=0.75",
                "limits.cores=1",
                "limits.memory_mb=430",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "discovery=registry",
                "entry=vip",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks",
                "fault_tolerance.machines=" + tolerance,
                "fault_tolerance.zones=1",
                "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3",
                "bounds.reuse_after_s=2",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.catch_up_s=" + catchUpSeconds,
                "bounds.drain_ms=2000",
                "bounds.grace_s=8",
                "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=2000",
                "bounds.rollback_slack_ms=250",
                "bounds.max_stretch_ms=5000",
                "bounds.revoke_strict=false",
                "bounds.revoke_ms=5000",
                "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10",
                "bounds.budget_slack=102",
                "bounds.recovery_s=" + recoverySeconds,
                "bounds.pass_ms=120",
                "bounds.retry_after_s=0",
                "bounds.version_ms=8000",
                "bounds.version_all_ms=0",
                "config_mode=highest"));
    }

    private Process startRole(String role, String name, List<String> settings) throws IOException {
        Path file = folder.resolve(name + ".conf");
        Files.write(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().put("BANKTURN_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        return started(builder.start(), name);
    }

    private Process started(Process process, String name) {
        processes.add(process);
        record("started " + name);
        return process;
    }

    /** Returns the words of a role's {@code run} line in the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.trim().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run")) {
                return Arrays.asList(
                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no role " + role + " in the deploy file");
    }

    /** Starts a stand-in as a process of its own; its output lines go to the record. */
    Process startStandin(String name, String mainClass, String... arguments) throws IOException {
        List<String> words = new ArrayList<>(
                List.of("java", "-Xmx64m", "-XX:+UseSerialGC", "-cp", "review/target", mainClass));
        words.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        Process process = started(builder.start(), name);
        Thread reader = new Thread(() -> {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                String line;
                while ((line = lines.readLine()) != null) {
                    record(name + ": " + line);
                }
            } catch (IOException e) {
                // the process has ended
            }
        });
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** Sends a configuration to the control processes in turn until one acknowledges it. */
    void publish(String document, long timeoutMillis) throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + timeoutMillis;
        for (int number = 0; System.currentTimeMillis() < until; number++) {
            try {
                Http.Answer answer = Http.call(
                        control(number % 3), CALL_PORT, Http.request("POST", "/config/put", "Host: operator\r\n", document), 1_500);
                if (answer.status == 200) {
                    record("configuration acknowledged by core-" + number % 3);
                    return;
                }
            } catch (IOException e) {
                // the next process is asked
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    /** Waits until an entry process says that it is ready. */
    void awaitReady(int number, long timeoutMillis) throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + timeoutMillis;
        while (System.currentTimeMillis() < until) {
            try {
                if (Http.call(entry(number), READY_PORT, Http.request("GET", "/ready", "Host: platform\r\n", ""), 1_000)
                                .status
                        == 200) {
                    record("front-" + number + " is ready");
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IOException("front-" + number + " is not ready");
    }

    /** Ends every process that was started here. */
    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record("all processes have ended");
        record.close();
        if (System.getenv("KEEP") == null) {
            delete(folder.toFile());
        }
    }

    private static void delete(java.io.File file) {
        java.io.File[] content = file.listFiles();
        if (content != null) {
            Arrays.stream(content).forEach(Deployment::delete);
        }
        file.delete();
    }
}
