package org.bankturn.daemon.entry;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.settings.DaemonSettings;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.time.Clock;

/**
 * The entry role of a process.
 *
 * <p>EntryRole is confined to its reactor's thread, except {@link #workerServlet}, which is called on each worker's thread.
 */
public final class EntryRole {
    private static final long DRAIN_CHECK_MILLIS = 50;
    /** The delay after the last request has ended, for its response to be flushed to the caller. */
    private static final long FLUSH_MILLIS = 150;

    private final DaemonSettings settings;
    private final EntryState state;
    private final TargetPoller targetPoller;
    private final BoxListPoller boxListPoller;
    private volatile boolean stopped;

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
     * @param settings the process's settings, with the entry role, not null
     * @param wiring the dependencies, not null
     * @return the role, not started, not null
     */
    public static EntryRole of(DaemonSettings settings, Wiring wiring) {
        return new EntryRole(settings, wiring);
    }

    private EntryRole(DaemonSettings settings, Wiring wiring) {
        this.settings = settings;
        this.state = EntryState.of(
                settings.dataHall(),
                settings.entry(),
                wiring.holder(),
                wiring.control(),
                wiring.telemetry(),
                wiring.clock());
        this.targetPoller = new TargetPoller(state, wiring.clients());
        this.boxListPoller = settings.entry().boxList() == null
                ? null
                : new BoxListPoller(settings.entry().boxList(), BackendClient.on(wiring.reactor()), state.targets());
    }

    /** Starts polling the targets and the box list. */
    public void start() {
        targetPoller.start();
        if (boxListPoller != null) {
            boxListPoller.start();
        }
    }

    /**
     * Creates the servlet that serves callers on one worker.
     *
     * @param worker the worker's reactor, not null
     * @return the servlet, confined to that reactor's thread, not null
     */
    public AsyncServlet workerServlet(Eventloop worker) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        Dispatcher dispatcher = new Dispatcher(state, BackendClient.on(worker), random);
        KeyedRequests keyed = new KeyedRequests(
                state.control(), state.clock(), settings.entry().keyLifetimeMillis());
        return new EntryServlet(state, dispatcher, keyed, () -> stopped);
    }

    /**
     * Accepts requests during the grace period, so that the load balancer can remove this process, then rejects new ones.
     *
     * @return completes when all requests in progress have ended
     */
    public Promise<Void> drain() {
        return Promises.delay(settings.entry().stopGraceMillis()).then(() -> {
            stopped = true;
            return awaitIdle();
        });
    }

    /** Stops polling the targets and the box list. */
    public void close() {
        targetPoller.stop();
        if (boxListPoller != null) {
            boxListPoller.stop();
        }
    }

    private Promise<Void> awaitIdle() {
        return state.admission().running() == 0
                ? Promises.delay(FLUSH_MILLIS)
                : Promises.delay(DRAIN_CHECK_MILLIS).then(this::awaitIdle);
    }
}
