package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Connects to targets that closed a connection: an address that refuses connections belongs to a crashed process.
 *
 * <p>Connections that a target accepts are kept for requests. CrashProbe is confined to its reactor's thread.
 */
final class CrashProbe {
    /** Delay before the second probe; a crashing process may close its port after its connections. */
    private static final long SECOND_PROBE_DELAY_MILLIS = 150;

    /** Connect timeout of a probe, which bounds how long an interrupted request waits; a path between regions takes 6 ms. */
    private static final long PROBE_TIMEOUT_MILLIS = 100;

    /** The time after which both probes of a target have an outcome. */
    static final long DECISION_MILLIS = SECOND_PROBE_DELAY_MILLIS + PROBE_TIMEOUT_MILLIS;

    private final Eventloop reactor;
    private final Clock clock;
    private final TargetConnectionPool connections;
    private final Consumer<TargetSighting> onRefused;
    private final Consumer<TargetSighting> onAlive;
    private final Map<String, Promise<Void>> pending = new HashMap<>();

    /**
     * Returns a probe, not null.
     *
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param connections the pool that receives connections that targets accept, not null
     * @param onRefused runs whenever a target refuses a connection, not null
     * @param onAlive runs when a target accepts the second connection, too, not null
     */
    static CrashProbe of(
            Eventloop reactor,
            Clock clock,
            TargetConnectionPool connections,
            Consumer<TargetSighting> onRefused,
            Consumer<TargetSighting> onAlive) {
        return new CrashProbe(reactor, clock, connections, onRefused, onAlive);
    }

    private CrashProbe(
            Eventloop reactor,
            Clock clock,
            TargetConnectionPool connections,
            Consumer<TargetSighting> onRefused,
            Consumer<TargetSighting> onAlive) {
        this.reactor = reactor;
        this.clock = clock;
        this.connections = connections;
        this.onRefused = onRefused;
        this.onAlive = onAlive;
    }

    /**
     * Probes a target now and, unless it refuses the connection, once more after a delay; a probe in progress is joined.
     *
     * @return a promise that completes with the first probe, not null
     */
    Promise<Void> probe(TargetSighting target) {
        Promise<Void> joined = pending.get(target.id());
        if (joined != null) {
            return joined;
        }
        Promise<Void> first = connect(target, PROBE_TIMEOUT_MILLIS).then(failure -> {
            pending.remove(target.id());
            if (!isRefused(failure)) {
                reactor.delayBackground(SECOND_PROBE_DELAY_MILLIS, () -> probeAgain(target));
            }
            return Promise.complete();
        });
        if (!first.isComplete()) {
            pending.put(target.id(), first);
        }
        return first;
    }

    private void probeAgain(TargetSighting target) {
        connect(target, PROBE_TIMEOUT_MILLIS).whenResult(failure -> {
            if (failure == null) {
                onAlive.accept(target);
            }
        });
    }

    /** Returns a promise of the connect failure, null if the target accepts the connection. */
    private Promise<Exception> connect(TargetSighting target, long timeoutMillis) {
        return TargetConnection.connect(
                        reactor, clock, Address.parse(target.address()).toSocketAddress(), timeoutMillis)
                .then((opened, failure) -> {
                    if (opened != null) {
                        connections.release(target.id(), opened);
                    }
                    if (isRefused(failure)) {
                        onRefused.accept(target);
                    }
                    return Promise.of(failure);
                });
    }

    /** Returns true if a failure to connect means that no process listens on the address. */
    static boolean isRefused(Exception connectFailure) {
        return connectFailure instanceof ConnectException;
    }
}
