import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment of the project's own programs, each a process started with the line of its role in the deploy file. */
final class Cluster {
    static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};

    private final Path root;
    private final Path folder;
    private final int net;
    private final int port;
    private final int controls;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();

    Cluster(Path root, Path recordFile, int controls) throws IOException {
        this.root = root;
        this.controls = controls;
        this.folder = Files.createTempDirectory("bankturn-review");
        this.record = Files.newBufferedWriter(recordFile);
        this.net = 32 + (int) (ProcessHandle.current().pid() % 190);
        this.port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Returns the first of 40 ports that are free on loopback addresses that the deployment uses. */
    private int freePorts() throws IOException {
        for (int first = 21_000 + (int) (System.nanoTime() >>> 10) % 40 * 100; first < 32_000; first += 100) {
            if (isFree(first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int first) {
        for (String host : List.of("127.0.0.1", host("core-1"), host("front-1"), host("replica-1"))) {
            for (int each = first; each < first + 40; each++) {
                try (ServerSocket probe = new ServerSocket(each, 1, InetAddress.getByName(host))) {
                    probe.setReuseAddress(false);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    // ---- addresses

    String host(String machine) {
        int number = Integer.parseInt(machine.substring(machine.indexOf('-') + 1));
        int kind = machine.startsWith("core") ? 1 : machine.startsWith("front") ? 2 : 3;
        return "127." + net + "." + number + "." + kind;
    }

    InetSocketAddress control(int number) {
        return new InetSocketAddress(host("core-" + number), port);
    }

    InetSocketAddress front(int number) {
        return new InetSocketAddress(host("front-" + number), port + 5);
    }

    InetSocketAddress ready(int number) {
        return new InetSocketAddress(host("front-" + number), port + 2);
    }

    /** Returns the address of a replica; they share the ports of the deployment. */
    InetSocketAddress replica(int number) {
        return new InetSocketAddress(host("replica-" + number), port + 30);
    }

    int controls() {
        return controls;
    }

    // ---- processes

    synchronized void start(String machine, boolean bootstrap) throws IOException {
        Path settings = folder.resolve(machine + ".conf");
        Files.writeString(settings, settings(machine, bootstrap));
        String role = machine.startsWith("core") ? "control" : "entry";
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BANKTURN_CONFIG", settings.toString());
        File log = folder.resolve(machine + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(machine, builder.start());
        note("started " + machine + " at " + host(machine));
    }

    /** Returns the {@code run} line of a role in the deploy file, split at spaces. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run line of role " + role);
    }

    private String settings(String machine, boolean bootstrap) {
        int number = Integer.parseInt(machine.substring(machine.indexOf('-') + 1));
        boolean core = machine.startsWith("core");
        String zone = ZONES[(number - 1) % ZONES.length];
        List<String> seeds = new ArrayList<>();
        for (int each = 1; each <= controls; each++) {
            seeds.add(host("core-" + each) + ":" + port);
        }
        List<String> lines = new ArrayList<>(List.of(
                "node_name=" + machine,
                "role=my-" + (core ? "core" : "front"),
                "machine_class=" + (core ? "core" : "front"),
                "serves=" + (core ? "control" : "front"),
                "ip=" + host(machine),
                "zone=" + zone,
                "region=region-" + zone));
        for (String each : ZONES) {
            lines.add("zones." + each + "=region-" + each);
        }
        lines.addAll(core
                ? List.of(
                        "listen.control=" + host(machine) + ":" + port,
                        "data_dir=" + folder.resolve("data-" + machine),
                        "limits.disk_mb=128")
                : List.of(
                        "listen.front=" + host(machine) + ":" + (port + 5),
                        "listen.ready=" + host(machine) + ":" + (port + 2),
                        "limits.disk_mb=0"));
        lines.addAll(List.of(
                "internal_ports=" + (port + 10) + "," + (port + 25),
                "seeds=" + String.join(",", seeds),
                "bootstrap=" + bootstrap,
                "fault_counted=" + core,
                "limits.cpu_share=0.75",
                "limits.cores=1",
                "limits.memory_mb=430",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "discovery=registry",
                "entry=vip",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks",
                "fault_tolerance.machines=1",
                "fault_tolerance.zones=1",
                "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3",
                "bounds.reuse_after_s=2",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.catch_up_s=4",
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
                "bounds.recovery_s=12",
                "bounds.pass_ms=120",
                "bounds.retry_after_s=0",
                "bounds.version_ms=8000",
                "bounds.version_all_ms=0",
                "config_mode=highest"));
        return String.join("\n", lines) + "\n";
    }

    Process process(String machine) {
        return processes.get(machine);
    }

    /** Sends a signal to a process that this deployment started. */
    void signal(String machine, String name) throws IOException, InterruptedException {
        note("signal " + name + " to " + machine);
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(machine).pid())).start().waitFor();
    }

    String log(String machine) throws IOException {
        return Files.readString(folder.resolve(machine + ".log"));
    }

    private synchronized void endAll() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process each : processes.values()) {
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("folder not removed: " + e);
        }
    }

    // ---- record

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void note(String line) {
        synchronized (record) {
            try {
                record.write(String.format("%8d ms  %s%n", millis(), line));
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    void say(String line) {
        System.out.println(line);
        note(line);
    }

    // ---- the operator and the platform

    /** Sends a call to one control process after another until one answers 2xx. */
    boolean operator(String method, String path, String body, long timeoutMillis) throws InterruptedException {
        long end = millis() + timeoutMillis;
        for (int next = 0; millis() < end; next++) {
            try {
                Wire.Answer answer = Wire.call(control(1 + next % controls), method, path, body, 1_000);
                if (answer.status / 100 == 2) {
                    note(method + " " + path + " acknowledged");
                    return true;
                }
                note(method + " " + path + " answered " + answer.status);
            } catch (IOException e) {
                // the next process is asked
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean awaitReady(int front, long timeoutMillis) throws InterruptedException {
        long end = millis() + timeoutMillis;
        while (millis() < end) {
            try {
                if (Wire.call(ready(front), "GET", "/ready", null, 1_000).status == 200) {
                    return true;
                }
            } catch (IOException e) {
                // not yet
            }
            Thread.sleep(100);
        }
        return false;
    }
}
