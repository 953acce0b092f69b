package org.bankturn.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.DeploymentPlan.EntryBox;
import org.bankturn.harness.DeploymentPlan.TargetBox;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.OriginStandin;
import org.bankturn.standin.PlainServiceStandin;
import org.bankturn.standin.Weights;

/**
 * A deployment on the loopback interface, in a temporary folder that {@link #close()} deletes.
 *
 * <p>LocalDeployment is not thread-safe, except for its queries.
 */
public final class LocalDeployment implements AutoCloseable {
    private final DeploymentPlan plan;
    private final Options options;
    private final Path folder;
    private final PortBlock ports;
    private final OriginStandin origin;
    private final String originAddress;
    private final Map<String, Addresses> addresses = new LinkedHashMap<>();
    private final Map<String, DaemonHandle> daemons = new LinkedHashMap<>();
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final List<PlainServiceStandin> services = new ArrayList<>();
    private final List<HallLink> links = new ArrayList<>();
    private final Map<String, Integer> runsById = PlainServiceStandin.newCounts();

    /**
     * Link rates and the behaviour of the stand-ins.
     *
     * @param originBytesPerSecond the rate of the origin's link
     * @param boxBytesPerSecond the rate of each box's link, per direction
     * @param policy the distribution policy, not null
     * @param entersServiceAt the number of boxes that must hold a version before it enters service
     * @param requestsAtOnce the concurrent requests per target
     * @param engine the engine settings, not null
     * @param traces true if daemons log spans
     */
    public record Options(
            long originBytesPerSecond,
            long boxBytesPerSecond,
            DistributionPolicy policy,
            int entersServiceAt,
            int requestsAtOnce,
            EngineStandin.Settings engine,
            boolean traces) {}

    /** The addresses of a process and of its backend. */
    private record Addresses(String http, String node, String backend) {}

    /** A relay from one hall to the node port of an entry process in another hall. */
    private record HallLink(String fromHall, String toHall, String process, int port, Relay relay) {}

    /**
     * Prepares a deployment: starts the stand-ins and writes the settings, but starts no daemon.
     *
     * @param plan the topology, not null
     * @param options rates and engine behaviour, not null
     * @return the deployment, not null
     * @throws IOException if it cannot be prepared
     */
    public static LocalDeployment prepare(DeploymentPlan plan, Options options) throws IOException {
        return new LocalDeployment(plan, options);
    }

    private LocalDeployment(DeploymentPlan plan, Options options) throws IOException {
        this.plan = plan;
        this.options = options;
        this.folder = Files.createTempDirectory("bankturn-");
        int processes = plan.entries().size() + plan.targets().size();
        this.ports = PortBlock.claim(
                3 * processes + plan.entries().size() * plan.dataHalls().size() + 1);
        int originPort = ports.next();
        this.originAddress = "127.0.0.1:" + originPort;
        this.origin = OriginStandin.start(originPort, options.originBytesPerSecond());
        for (EntryBox entry : plan.entries()) {
            addresses.put(entry.name(), new Addresses(ports.nextAddress(), ports.nextAddress(), ""));
        }
        startLinks();
        for (TargetBox target : plan.targets()) {
            int backend = ports.next();
            startBackend(target, backend);
            addresses.put(
                    target.name(), new Addresses(ports.nextAddress(), ports.nextAddress(), "127.0.0.1:" + backend));
        }
        for (EntryBox entry : plan.entries()) {
            prepareDaemon(entry.name(), entrySettings(entry));
        }
        for (TargetBox target : plan.targets()) {
            prepareDaemon(target.name(), targetSettings(target));
        }
    }

    // ---- queries

    /** Returns the plan, not null. */
    public DeploymentPlan plan() {
        return plan;
    }

    /** Returns the folder that holds all files of this deployment, not null. */
    public Path folder() {
        return folder;
    }

    /** Returns the origin of weights, not null. */
    public OriginStandin origin() {
        return origin;
    }

    /** Returns the number of runs of each plain service call, by call id, not null. */
    public Map<String, Integer> runsById() {
        return runsById;
    }

    /**
     * Returns a daemon.
     *
     * @param name the process's name, not null
     * @return the daemon, not null
     */
    public DaemonHandle daemon(String name) {
        return daemons.get(name);
    }

    /** Returns every daemon, not null. */
    public List<DaemonHandle> daemons() {
        return List.copyOf(daemons.values());
    }

    /**
     * Returns an engine.
     *
     * @param box its box's name, not null
     * @return the engine, not null
     */
    public EngineStandin engine(String box) {
        return engines.get(box);
    }

    /**
     * Returns the number of engines that have loaded the given weights.
     *
     * @param weights the weights, not null
     * @return the number of engines
     */
    public int enginesWith(Weights weights) {
        String digest = weights.digest();
        return (int) engines.values().stream()
                .filter(engine ->
                        digest.equals(engine.loaded().get(weights.manifest().digest())))
                .count();
    }

    /**
     * Returns the HTTP address of a process.
     *
     * @param name the process's name, not null
     * @return host:port, not null
     */
    public String httpAddress(String name) {
        return addresses.get(name).http();
    }

    /**
     * Returns the address of the engine or service behind a target process.
     *
     * @param box the box's name, not null
     * @return host:port, not null
     */
    public String backendAddress(String box) {
        return addresses.get(box).backend();
    }

    /** Returns the HTTP addresses of all entry processes, comma-separated, not null. */
    public String operatorAddresses() {
        return plan.entries().stream().map(entry -> httpAddress(entry.name())).collect(Collectors.joining(","));
    }

    // ---- commands

    /**
     * Starts every daemon and waits until all are ready.
     *
     * @throws IOException if one cannot be started
     */
    public void startAll() throws IOException {
        for (EntryBox entry : plan.entries()) {
            if (entry.control()) {
                daemon(entry.name()).start("--form-control-group");
            } else {
                daemon(entry.name()).start();
            }
        }
        for (TargetBox target : plan.targets()) {
            daemon(target.name()).start();
        }
        daemons.values().forEach(DaemonHandle::awaitReady);
    }

    /**
     * Writes an operator file for the whole deployment.
     *
     * @param number its version number
     * @param versions the versions by name, not null
     * @param wanted the version to put into service, not null
     * @return the file, not null
     * @throws IOException if it cannot be written
     */
    public Path writeOperatorFile(long number, Map<String, Weights> versions, String wanted) throws IOException {
        Path file = folder.resolve("operators-" + number + ".yaml");
        Files.writeString(file, operatorFile(number, versions, wanted));
        return file;
    }

    /**
     * Deletes the data folder of a control box, to simulate the loss of its disk.
     *
     * @param name the process's name, not null
     * @throws IOException if it cannot be deleted
     */
    public void deleteData(String name) throws IOException {
        deleteTree(folder.resolve(name).resolve("data"));
    }

    /**
     * Partitions a hall from the entry and control processes of the other halls without closing connections, or heals
     * the partition. Traffic to and between targets is not affected.
     *
     * @param hall the hall, not null
     * @param partitioned true to partition, false to heal
     */
    public void setPartitioned(String hall, boolean partitioned) {
        links.stream()
                .filter(link -> link.fromHall().equals(hall) || link.toHall().equals(hall))
                .forEach(link -> link.relay().setPartitioned(partitioned));
    }

    @Override
    public void close() throws IOException {
        daemons.values().stream().filter(DaemonHandle::isAlive).forEach(DaemonHandle::resume);
        daemons.values().stream().filter(DaemonHandle::isAlive).forEach(DaemonHandle::kill);
        engines.values().forEach(EngineStandin::close);
        services.forEach(PlainServiceStandin::close);
        origin.close();
        ports.close();
        for (HallLink link : links) {
            link.relay().close();
        }
        deleteTree(folder);
    }

    // ---- stand-ins, links and files

    private void startLinks() throws IOException {
        for (EntryBox entry : plan.entries()) {
            String node = addresses.get(entry.name()).node();
            int nodePort = Integer.parseInt(node.substring(node.lastIndexOf(':') + 1));
            for (String hall : plan.dataHalls()) {
                if (!hall.equals(entry.dataHall())) {
                    int port = ports.next();
                    links.add(new HallLink(hall, entry.dataHall(), entry.name(), port, Relay.start(port, nodePort)));
                }
            }
        }
    }

    /** Returns the node address of an entry process as seen from a hall: the relay if the halls differ. */
    private String nodeAddressFrom(String hall, String process) {
        return links.stream()
                .filter(link -> link.fromHall().equals(hall) && link.process().equals(process))
                .map(link -> "127.0.0.1:" + link.port())
                .findFirst()
                .orElseGet(() -> addresses.get(process).node());
    }

    private void startBackend(TargetBox target, int port) throws IOException {
        if (target.service().equals(DeploymentPlan.ASSISTANT)) {
            engines.put(target.name(), EngineStandin.start(port, options.engine()));
        } else {
            services.add(PlainServiceStandin.start(port, 5, runsById));
        }
    }

    private void prepareDaemon(String name, String settings) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name));
        Path file = own.resolve("settings.yaml");
        Files.writeString(file, settings);
        daemons.put(name, new DaemonHandle(name, file, own.resolve("log.json")));
    }

    private String entrySettings(EntryBox entry) {
        StringBuilder text =
                commonSettings(entry.name(), entry.dataHall(), entry.control() ? "entry, control" : "entry");
        if (entry.control()) {
            text.append("control: {dataFolder: ")
                    .append(folder.resolve(entry.name()).resolve("data"))
                    .append("}\n");
        }
        return text.append("entry: {workerThreads: 2, stopGraceMillis: 500}\n").toString();
    }

    private String targetSettings(TargetBox target) {
        return commonSettings(target.name(), target.dataHall(), "target")
                .append("target:\n  chunkFolder: ")
                .append(folder.resolve(target.name()).resolve("chunks"))
                .append("\n  backend: ")
                .append(addresses.get(target.name()).backend())
                .append("\n  backendChecksFence: ")
                .append(options.engine().checksFence())
                .append("\n  uploadBytesPerSecond: ")
                .append(options.boxBytesPerSecond())
                .append("\n  downloadBytesPerSecond: ")
                .append(options.boxBytesPerSecond())
                .append("\n")
                .toString();
    }

    private StringBuilder commonSettings(String name, String hall, String roles) {
        Addresses own = addresses.get(name);
        StringBuilder text = new StringBuilder();
        text.append("process: ").append(name).append("\ndataHall: ").append(hall);
        text.append("\nroles: [").append(roles).append("]\n");
        text.append("httpAddress: ")
                .append(own.http())
                .append("\nnodeAddress: ")
                .append(own.node());
        text.append("\ntraces: ").append(options.traces()).append("\ncontrolBoxes:\n");
        plan.entries().stream()
                .filter(EntryBox::control)
                .forEach(box -> text.append("  - {name: ")
                        .append(box.name())
                        .append(", nodeAddress: '")
                        .append(nodeAddressFrom(hall, box.name()))
                        .append("'}\n"));
        text.append("configurationSources: [")
                .append(configurationSources(name, hall))
                .append("]\n");
        return text;
    }

    /** Returns the entry processes of the same hall and, for entry processes, all control boxes. */
    private String configurationSources(String name, String hall) {
        boolean entry = plan.entries().stream().anyMatch(place -> place.name().equals(name));
        return plan.entries().stream()
                .filter(place -> !place.name().equals(name))
                .filter(place -> place.dataHall().equals(hall) || (entry && place.control()))
                .map(place -> "'" + nodeAddressFrom(hall, place.name()) + "'")
                .collect(Collectors.joining(", "));
    }

    private String operatorFile(long number, Map<String, Weights> versions, String wanted) {
        StringBuilder text = new StringBuilder();
        text.append("name: ")
                .append(plan.name())
                .append("\nnumber: ")
                .append(number)
                .append("\ndataHalls:\n");
        plan.dataHalls()
                .forEach(hall -> text.append("  - {name: ")
                        .append(hall)
                        .append(", region: ")
                        .append(plan.region())
                        .append("}\n"));
        text.append("boxes:\n");
        plan.targets()
                .forEach(target -> text.append("  - {name: ")
                        .append(target.name())
                        .append(", dataHall: ")
                        .append(target.dataHall())
                        .append(", service: ")
                        .append(target.service())
                        .append(", httpAddress: '")
                        .append(addresses.get(target.name()).http())
                        .append("', nodeAddress: '")
                        .append(addresses.get(target.name()).node())
                        .append("'}\n"));
        text.append("models:\n  - name: ")
                .append(DeploymentPlan.ASSISTANT)
                .append("\n    dataHalls: ")
                .append(plan.dataHalls())
                .append("\n    version: ")
                .append(wanted)
                .append("\n    policy: ")
                .append(options.policy().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .append("\n    entersServiceAt: ")
                .append(options.entersServiceAt())
                .append("\nversions:\n");
        versions.forEach((name, weights) -> text.append("  - {model: ")
                .append(DeploymentPlan.ASSISTANT)
                .append(", name: ")
                .append(name)
                .append(", manifest: ")
                .append(weights.manifest().digest())
                .append(", origin: '")
                .append(originAddress)
                .append("'}\n"));
        text.append("services:\n  - {name: ")
                .append(DeploymentPlan.ASSISTANT)
                .append(", model: ")
                .append(DeploymentPlan.ASSISTANT)
                .append(", requestsAtOnce: ")
                .append(options.requestsAtOnce())
                .append("}\n");
        plan.plainServices()
                .forEach(service -> text.append("  - {name: ")
                        .append(service)
                        .append(", requestsAtOnce: ")
                        .append(options.requestsAtOnce())
                        .append("}\n"));
        text.append("clientAccounts:\n");
        plan.accounts()
                .forEach(account -> text.append("  - {name: ")
                        .append(account.name())
                        .append(", weight: ")
                        .append(account.weight())
                        .append(", dataHalls: ")
                        .append(account.dataHalls())
                        .append("}\n"));
        return text.toString();
    }

    private static void deleteTree(Path root) throws IOException {
        if (!Files.exists(root)) {
            return;
        }
        try (Stream<Path> paths = Files.walk(root)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
