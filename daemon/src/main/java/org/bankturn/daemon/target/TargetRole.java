package org.bankturn.daemon.target;

import io.activej.http.AsyncServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.Service;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.settings.DaemonSettings;
import org.bankturn.daemon.settings.DaemonSettings.TargetSettings;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.distribution.LinkRateLimiter;
import org.bankturn.lease.HeldLease;
import org.bankturn.membership.TargetStatus;
import org.bankturn.time.Clock;

/**
 * The target role of a process.
 *
 * <p>TargetRole is confined to its reactor's thread.
 */
public final class TargetRole {
    private static final int FILE_THREADS = 2;
    private static final long LINK_BURST_MILLIS = 50;
    private static final int NOTHING_ALLOWED = 0;
    private static final long DRAIN_CHECK_MILLIS = 50;

    private final DaemonSettings settings;
    private final ConfigurationHolder holder;
    private final NioReactor reactor;
    private final ExecutorService files = Executors.newFixedThreadPool(FILE_THREADS, task -> new Thread(task, "files"));
    private final ChunkServer chunkServer;
    private final VersionKeeper keeper;
    private final TargetServlet servlet;
    private boolean leaving;

    /**
     * What the role needs from the process around it.
     *
     * @param reactor the reactor whose thread it runs on, not null
     * @param holder what is in force, not null
     * @param clients connections to other processes, not null
     * @param control the control boxes, not null
     * @param telemetry metrics and traces, not null
     * @param clock the time, not null
     */
    public record Wiring(
            NioReactor reactor,
            ConfigurationHolder holder,
            NodeClients clients,
            ControlClient control,
            Telemetry telemetry,
            Clock clock) {}

    /**
     * Creates the role.
     *
     * @param settings the process's settings, with the target role, not null
     * @param wiring the process around it, not null
     * @param startMillis when this start of the process began; tells its leases from those of earlier starts
     * @return the role, not started, not null
     */
    public static TargetRole of(DaemonSettings settings, Wiring wiring, long startMillis) {
        return new TargetRole(settings, wiring, startMillis);
    }

    private TargetRole(DaemonSettings settings, Wiring wiring, long startMillis) {
        TargetSettings target = settings.target();
        this.settings = settings;
        this.holder = wiring.holder();
        this.reactor = wiring.reactor();
        BackendClient client = BackendClient.on(wiring.reactor());
        TargetContext context = new TargetContext(
                settings.process(),
                wiring.clients(),
                wiring.control(),
                new OriginClient(client),
                files,
                target.chunkFolder(),
                LinkRateLimiter.of(target.downloadBytesPerSecond(), LINK_BURST_MILLIS, wiring.clock()),
                wiring.telemetry(),
                wiring.clock());
        String backend = target.backend().toString();
        String leaseHolder = settings.process() + "@" + startMillis;
        EngineOrders orders = new EngineOrders(
                context, client, backend, leaseHolder, target.leaseMillis(), firstOrderMillis(target, startMillis));
        this.chunkServer = new ChunkServer(
                files, LinkRateLimiter.of(target.uploadBytesPerSecond(), LINK_BURST_MILLIS, wiring.clock()));
        this.keeper = new VersionKeeper(context, chunkServer, orders, holder, this::runningOn);
        this.servlet = new TargetServlet(
                client, backend, wiring.telemetry(), keeper::loaded, () -> leaving, this::requestsAtOnce);
    }

    /** Before an engine that does not check fences, an order of an earlier start of this process must be over first. */
    private static long firstOrderMillis(TargetSettings target, long startMillis) {
        return target.backendChecksFence()
                ? startMillis
                : startMillis + HeldLease.maxDeliveryMillis(target.leaseMillis());
    }

    /** Begins to keep versions as the configuration wants them. */
    public void start() {
        keeper.start();
        holder.onAdvance(configuration -> reactor.execute(keeper::checkNow));
    }

    /** Returns what takes requests of entry processes, not null. */
    public AsyncServlet servlet() {
        return servlet;
    }

    /** Returns the manifests that the engine serves whole, not null. */
    public List<String> loaded() {
        return keeper.loaded();
    }

    /** Returns what operators should know, empty if nothing, not null. */
    public String note() {
        return keeper.note();
    }

    /** Returns true if this process takes no new work. */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Answers a request that concerns this role.
     *
     * @param request the request, not null
     * @return the reply, or empty if the request is for another role
     */
    public Optional<Promise<NodeReply>> handle(NodeRequest request) {
        if (request instanceof NodeRequest.GetTargetStatus) {
            TargetStatus status = new TargetStatus(settings.process(), keeper.loaded(), leaving, servlet.running());
            return Optional.of(Promise.of(new NodeReply.Target(status)));
        }
        if (request instanceof NodeRequest.GetManifest manifest) {
            return Optional.of(chunkServer.manifest(manifest));
        }
        if (request instanceof NodeRequest.GetHolds holds) {
            return Optional.of(chunkServer.holds(holds));
        }
        if (request instanceof NodeRequest.GetChunk chunk) {
            return Optional.of(chunkServer.chunk(chunk));
        }
        return Optional.empty();
    }

    /**
     * Takes no new work from now on.
     *
     * @return completes when every request that was under way has ended
     */
    public Promise<Void> drain() {
        leaving = true;
        keeper.close();
        return awaitIdle();
    }

    /** Stops the threads that read and write files. */
    public void close() {
        files.shutdown();
    }

    private Promise<Void> awaitIdle() {
        return servlet.running() == 0
                ? Promise.complete()
                : Promises.delay(DRAIN_CHECK_MILLIS).then(this::awaitIdle);
    }

    private int runningOn(String manifest) {
        return servlet.runningOn(manifest);
    }

    private int requestsAtOnce() {
        return holder.get()
                .box(settings.process())
                .flatMap(box -> holder.get().service(box.service()))
                .map(Service::requestsAtOnce)
                .orElse(NOTHING_ALLOWED);
    }
}
