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
    private static final int NO_REQUESTS = 0;
    private static final long DRAIN_CHECK_MILLIS = 50;

    private final DaemonSettings settings;
    private final ConfigurationHolder holder;
    private final NioReactor reactor;
    private final ExecutorService files = Executors.newFixedThreadPool(FILE_THREADS, task -> new Thread(task, "files"));
    private final ChunkServer chunkServer;
    private final VersionManager versionManager;
    private final TargetServlet servlet;
    private boolean leaving;

    /**
     * The dependencies that the process supplies.
     *
     * @param reactor the reactor whose thread the role runs on, not null
     * @param holder the current configuration, not null
     * @param clients connections to other processes, not null
     * @param control the client of the control group, not null
     * @param telemetry records metrics and traces, not null
     * @param clock the time source, not null
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
     * @param wiring the dependencies, not null
     * @param startMillis the start time of the process, which distinguishes its leases from those of earlier runs
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
        this.versionManager = new VersionManager(context, chunkServer, orders, holder, this::runningRequestsOn);
        this.servlet = new TargetServlet(
                client,
                backend,
                wiring.telemetry(),
                versionManager::loaded,
                () -> leaving,
                this::maxConcurrentRequests);
    }

    /** An engine that does not check fences must not receive an order while one of an earlier run may be in transit. */
    private static long firstOrderMillis(TargetSettings target, long startMillis) {
        return target.backendChecksFence()
                ? startMillis
                : startMillis + HeldLease.maxDeliveryMillis(target.leaseMillis());
    }

    /** Starts reconciling versions with the configuration. */
    public void start() {
        versionManager.start();
        holder.onAdvance(configuration -> reactor.execute(versionManager::reconcileNow));
    }

    /** Returns the servlet for requests from entry processes, not null. */
    public AsyncServlet servlet() {
        return servlet;
    }

    /** Returns the manifests of the versions that the engine serves, not null. */
    public List<String> loaded() {
        return versionManager.loaded();
    }

    /** Returns a message for operators, empty if there is none, not null. */
    public String note() {
        return versionManager.note();
    }

    /** Returns true if this process accepts no new requests. */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Handles a request from another process.
     *
     * @param request the request, not null
     * @return the reply, or empty if this role does not handle the request
     */
    public Optional<Promise<NodeReply>> handle(NodeRequest request) {
        if (request instanceof NodeRequest.GetTargetStatus) {
            TargetStatus status =
                    new TargetStatus(settings.process(), versionManager.loaded(), leaving, servlet.runningRequests());
            return Optional.of(Promise.of(new NodeReply.Target(status)));
        }
        if (request instanceof NodeRequest.GetManifest manifest) {
            return Optional.of(chunkServer.manifest(manifest));
        }
        if (request instanceof NodeRequest.GetHeldChunks holds) {
            return Optional.of(chunkServer.holds(holds));
        }
        if (request instanceof NodeRequest.GetChunk chunk) {
            return Optional.of(chunkServer.chunk(chunk));
        }
        return Optional.empty();
    }

    /**
     * Stops accepting new requests.
     *
     * @return completes when all requests in progress have ended
     */
    public Promise<Void> drain() {
        leaving = true;
        versionManager.close();
        return awaitIdle();
    }

    /** Shuts down the file executor. */
    public void close() {
        files.shutdown();
    }

    private Promise<Void> awaitIdle() {
        return servlet.runningRequests() == 0
                ? Promise.complete()
                : Promises.delay(DRAIN_CHECK_MILLIS).then(this::awaitIdle);
    }

    private int runningRequestsOn(String manifest) {
        return servlet.runningRequestsOn(manifest);
    }

    private int maxConcurrentRequests() {
        return holder.get()
                .box(settings.process())
                .flatMap(box -> holder.get().service(box.service()))
                .map(Service::requestsAtOnce)
                .orElse(NO_REQUESTS);
    }
}
