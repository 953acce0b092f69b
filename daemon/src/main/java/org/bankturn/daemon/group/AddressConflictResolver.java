package org.bankturn.daemon.group;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.bankturn.daemon.http.HealthDialect;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Determines which of several incarnations that announced the same address is reachable there.
 *
 * <p>A heartbeat delayed by a network partition may arrive after its sender has crashed and another target has started at
 * the same address. Recording it would displace the live target. The resolver therefore sends a health request to the
 * address. Without an answer that identifies its sender, an incarnation owns the address once it sends a further heartbeat.
 *
 * <p>AddressConflictResolver is confined to its reactor's thread.
 */
final class AddressConflictResolver {
    /** Allows for a saturated low-bandwidth link; the heartbeat is answered after this at the latest. */
    private static final long PROBE_TIMEOUT_MILLIS = 400;

    /** The part of the heartbeat interval after which a heartbeat counts as a further one; tolerates jitter. */
    private static final double MIN_INTERVAL_FRACTION = 0.75;

    /** Exceeds the size of a health answer; many addresses may be asked at a time. */
    private static final long MAX_ANSWER_BYTES = 64 << 10;

    private static final int MAX_TRACKED_INCARNATIONS = 256;

    private final NioReactor reactor;
    private final Clock clock;
    private final HealthDialect dialect;
    private final DecisionLog log;
    private final long minIntervalMillis;
    private final Map<String, Long> firstHeardMillis = new LinkedHashMap<>();
    private PooledHttpClient calls;

    /**
     * Returns a resolver without any tracked incarnations, not null.
     *
     * @param reactor its reactor, not null
     * @param clock the clock, not null
     * @param dialect the HTTP format of health requests, not null
     * @param log the decision log, not null
     * @param heartbeatMillis the heartbeat interval of targets
     */
    static AddressConflictResolver of(
            NioReactor reactor, Clock clock, HealthDialect dialect, DecisionLog log, long heartbeatMillis) {
        return new AddressConflictResolver(reactor, clock, dialect, log, heartbeatMillis);
    }

    private AddressConflictResolver(
            NioReactor reactor, Clock clock, HealthDialect dialect, DecisionLog log, long heartbeatMillis) {
        this.reactor = reactor;
        this.clock = clock;
        this.dialect = dialect;
        this.log = log;
        this.minIntervalMillis = Math.round(heartbeatMillis * MIN_INTERVAL_FRACTION);
    }

    /**
     * Determines whether the incarnation that sent a heartbeat owns its address.
     *
     * @param sighting the content of the heartbeat, not null
     * @param healthPath the health path of its service, empty if unknown
     */
    Promise<Boolean> ownsAddress(TargetSighting sighting, Optional<String> healthPath) {
        return probe(sighting, healthPath).map(answer -> {
            boolean ownsAddress = answer.orElseGet(() -> sentFurtherHeartbeat(sighting));
            if (ownsAddress) {
                firstHeardMillis.remove(sighting.id());
            }
            log.line(DecisionKind.TARGET)
                    .with(DecisionField.TARGET, sighting.id())
                    .with(DecisionField.EVENT, ownsAddress ? "is at its address" : "address is another's")
                    .with(DecisionField.REASON, answer.isPresent() ? "answered there" : "no answer there")
                    .write();
            return ownsAddress;
        });
    }

    private Promise<Optional<Boolean>> probe(TargetSighting sighting, Optional<String> healthPath) {
        if (healthPath.isEmpty()) {
            return Promise.of(Optional.empty());
        }
        if (calls == null) {
            calls = PooledHttpClient.on(reactor, clock);
        }
        return calls.callIdempotent(
                        Address.parse(sighting.address()).toSocketAddress(),
                        dialect.healthProbe(healthPath.get(), sighting.name()),
                        PROBE_TIMEOUT_MILLIS,
                        MAX_ANSWER_BYTES)
                .then(
                        answer -> Promise.of(dialect.identifies(sighting.name(), answer.head())),
                        failure -> Promise.of(Optional.empty()));
    }

    private boolean sentFurtherHeartbeat(TargetSighting sighting) {
        long now = clock.millis();
        long first = firstHeardMillis.computeIfAbsent(sighting.id(), key -> now);
        if (firstHeardMillis.size() > MAX_TRACKED_INCARNATIONS) {
            firstHeardMillis.remove(firstHeardMillis.keySet().iterator().next());
        }
        return now - first >= minIntervalMillis;
    }
}
