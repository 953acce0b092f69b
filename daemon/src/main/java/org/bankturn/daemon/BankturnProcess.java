package org.bankturn.daemon;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.control.ControlRole;
import org.bankturn.daemon.entry.EntryRole;
import org.bankturn.daemon.follow.ConfigurationFollower;
import org.bankturn.daemon.follow.ConfigurationPublisher;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.settings.DaemonSettings;
import org.bankturn.daemon.settings.DaemonSettings.ControlBox;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.daemon.target.TargetRole;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.membership.ProcessReport;
import org.bankturn.membership.ReportTable;
import org.bankturn.time.Clock;

/**
 * One process of bankturn, wired together by its roles.
 *
 * <p>One reactor, the node reactor, carries messages between processes, operators' requests and the target role; callers'
 * requests run on workers.
 */
public final class BankturnProcess {
    private static final Logger LOG = System.getLogger(BankturnProcess.class.getName());
    private static final long REPORTS_PASSED_ON_MILLIS = 6_000;

    private final DaemonSettings settings;
    private final Clock clock = Clock.system();
    private final long startMillis = clock.millis();
    private final AtomicLong reportSequence = new AtomicLong();
    private final Eventloop reactor = Eventloop.builder().withThreadName("node").build();
    private final List<Eventloop> workers = new ArrayList<>();
    private final ConfigurationHolder holder = new ConfigurationHolder();
    private final ReportTable reports = ReportTable.using(clock);
    private final Telemetry telemetry;
    private final NodeClients clients = NodeClients.on(reactor);
    private final NodeServer nodeServer;
    private final AbstractReactiveServer httpServer;
    private final ConfigurationPublisher publisher;
    private final ConfigurationFollower follower;
    private final ControlRole controlRole;
    private final EntryRole entryRole;
    private final TargetRole targetRole;
    private volatile boolean stopping;

    /**
     * Wires a process.
     *
     * @param settings its settings, not null
     * @param formsGroup true if this is the first start of all control boxes ever
     * @return the process, not started, not null
     * @throws IOException if its data folder cannot be used
     */
    public static BankturnProcess of(DaemonSettings settings, boolean formsGroup) throws IOException {
        return new BankturnProcess(settings, formsGroup);
    }

    private BankturnProcess(DaemonSettings settings, boolean formsGroup) throws IOException {
        this.settings = settings;
        this.telemetry = Telemetry.of(settings.process(), settings.traces());
        ControlClient control = ControlClient.of(
                clients,
                settings.controlBoxes().stream().map(ControlBox::nodeAddress).toList(),
                clock);
        this.controlRole = settings.hasRole(ProcessRole.CONTROL)
                ? ControlRole.open(settings, formsGroup, clients, holder, reports, clock)
                : null;
        this.entryRole = settings.hasRole(ProcessRole.ENTRY)
                ? EntryRole.of(settings, new EntryRole.Wiring(reactor, holder, clients, control, telemetry, clock))
                : null;
        this.targetRole = settings.hasRole(ProcessRole.TARGET)
                ? TargetRole.of(
                        settings,
                        new TargetRole.Wiring(reactor, holder, clients, control, telemetry, clock),
                        startMillis)
                : null;
        this.publisher = ConfigurationPublisher.of(reactor, holder, reports);
        this.follower =
                ConfigurationFollower.of(clients, settings.configurationSources(), holder, this::reportsToPassOn);
        this.nodeServer = NodeServer.create(reactor, settings.nodeAddress(), this::answer);
        this.httpServer = httpServer(new OperatorServlet(holder, control));
        holder.onAdvance(this::configurationAdvanced);
    }

    /**
     * Starts the process.
     *
     * @return completes when it serves: it listens, and has learned the configuration from its sources
     */
    public CompletableFuture<Void> start() {
        reactor.keepAlive(true);
        new Thread(reactor, "node").start();
        for (Eventloop worker : workers) {
            worker.keepAlive(true);
            new Thread(worker, "worker").start();
        }
        return reactor.submit(() -> startOnReactor());
    }

    private Promise<Void> startOnReactor() throws IOException {
        nodeServer.listen();
        if (controlRole != null) {
            controlRole.start();
        }
        return follower.start().then(() -> {
            if (targetRole != null) {
                targetRole.start();
            }
            if (entryRole != null) {
                entryRole.start();
            }
            httpServer.listen();
            return Promise.complete();
        });
    }

    /** Stops as planned: takes no new work, lets what is under way end, hands leadership over, then returns. */
    public void stop() {
        LOG.log(Level.INFO, "stopping as planned");
        stopping = true;
        reactor.submit(this::drain).join();
        if (controlRole != null) {
            controlRole.stop();
        }
        reactor.submit(this::closeOnReactor).join();
        telemetry.close();
    }

    private Promise<Void> drain() {
        List<Promise<Void>> drained = new ArrayList<>();
        if (targetRole != null) {
            drained.add(targetRole.drain());
        }
        if (entryRole != null) {
            drained.add(entryRole.drain());
        }
        drained.add(follower.reportNow());
        return Promises.all(drained);
    }

    private Promise<Void> closeOnReactor() {
        follower.stop();
        if (entryRole != null) {
            entryRole.close();
        }
        return Promise.ofFuture(toFuture()).whenComplete(() -> {
            if (targetRole != null) {
                targetRole.close();
            }
            nodeServer.close();
            clients.close();
        });
    }

    private CompletableFuture<Void> toFuture() {
        return httpServer.close().toVoid().toCompletableFuture();
    }

    // ---- HTTP

    private AbstractReactiveServer httpServer(OperatorServlet operators) {
        if (entryRole == null) {
            AsyncServlet rest =
                    targetRole == null ? request -> HttpResponse.notFound404().toPromise() : targetRole.servlet();
            return HttpServer.builder(reactor, servletAround(reactor, operators, rest))
                    .withListenAddress(settings.httpAddress().toSocketAddress())
                    .build();
        }
        List<HttpServer> servers = new ArrayList<>();
        for (int number = 0; number < settings.entry().workerThreads(); number++) {
            Eventloop worker = Eventloop.builder().withThreadName("worker").build();
            workers.add(worker);
            AsyncServlet callers = entryRole.workerServlet(worker);
            servers.add(HttpServer.builder(worker, servletAround(worker, operators, callers))
                    .build());
        }
        return PrimaryServer.builder(reactor, servers)
                .withListenAddress(settings.httpAddress().toSocketAddress())
                .build();
    }

    private AsyncServlet servletAround(Eventloop on, OperatorServlet operators, AsyncServlet rest) {
        RoutingServlet.Builder builder = RoutingServlet.builder(on)
                .with("/metrics", request -> metrics())
                .with("/healthz", request -> health())
                .with("/*", rest);
        if (targetRole == null) {
            builder.with("/operator/*", operators);
        }
        return MessageCheck.rejectingMalformed(builder.build());
    }

    private Promise<HttpResponse> metrics() {
        return HttpResponse.ok200().withBody(telemetry.metricsText()).toPromise();
    }

    private Promise<HttpResponse> health() {
        boolean well = !stopping && holder.get().index() > 0;
        return HttpResponse.ofCode(well ? 200 : 503)
                .withBody(well ? "ok\n" : "not taking work\n")
                .toPromise();
    }

    // ---- messages of other processes

    private Promise<NodeReply> answer(NodeRequest request) {
        if (request instanceof NodeRequest.FetchConfiguration fetch) {
            return publisher.answer(fetch);
        }
        if (controlRole != null) {
            Optional<Promise<NodeReply>> reply = controlRole.handle(request);
            if (reply.isPresent()) {
                return reply.get();
            }
        }
        if (targetRole != null) {
            Optional<Promise<NodeReply>> reply = targetRole.handle(request);
            if (reply.isPresent()) {
                return reply.get();
            }
        }
        return Promise.of(new NodeReply.Failed("not for this process's roles"));
    }

    // ---- reports

    private void configurationAdvanced(Configuration configuration) {
        telemetry.setConfigurationIndex(configuration.index());
        LOG.log(Level.INFO, "configuration in force: " + configuration.index() + " " + configuration.digest());
    }

    private List<ProcessReport> reportsToPassOn() {
        reports.receive(List.of(ownReport()));
        return reports.receivedWithin(REPORTS_PASSED_ON_MILLIS);
    }

    private ProcessReport ownReport() {
        Configuration configuration = holder.get();
        return new ProcessReport(
                settings.process(),
                settings.roles().stream()
                        .map(role -> role.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining("+")),
                settings.dataHall(),
                startMillis,
                reportSequence.incrementAndGet(),
                configuration.index(),
                configuration.digest(),
                targetRole == null ? List.of() : targetRole.loaded(),
                targetRole == null ? "" : targetRole.note(),
                stopping);
    }
}
