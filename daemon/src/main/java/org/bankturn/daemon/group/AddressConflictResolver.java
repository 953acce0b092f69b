package org.bankturn.daemon.group;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Finds out whether a start is the one that is at its address now, where another one was heard of there.
 *
 * <p>Load pattern: targets end and others start at their addresses, while words that a cut held back still arrive. The word
 * of a dead start would displace the live one, which then gets nothing. So whoever is at the address is asked by name; where
 * that tells nothing, a start that speaks again a heartbeat later is there, since a dead one does not.
 *
 * <p>AddressConflictResolver is confined to its reactor's thread.
 */
final class AddressConflictResolver {
    /** A target on a narrow link that is full answers within that, and its heartbeat waits no longer. */
    private static final long LOOK_MILLIS = 400;

    /** Heartbeats come a little early at times. */
    private static final double LEAST_SPACING = 0.75;

    private static final int REMEMBERED = 256;

    private final NioReactor reactor;
    private final Clock clock;
    private final ControlDialect dialect;
    private final DecisionLog log;
    private final long spacingMillis;
    private final Map<String, Long> firstHeardMillis = new LinkedHashMap<>();
    private HttpCalls calls;

    /**
     * Returns one, not null.
     *
     * @param reactor its reactor, not null
     * @param clock the time, not null
     * @param dialect how targets are asked, not null
     * @param log the decision log, not null
     * @param heartbeatMillis how often targets speak
     */
    static AddressConflictResolver of(
            NioReactor reactor, Clock clock, ControlDialect dialect, DecisionLog log, long heartbeatMillis) {
        return new AddressConflictResolver(reactor, clock, dialect, log, heartbeatMillis);
    }

    private AddressConflictResolver(
            NioReactor reactor, Clock clock, ControlDialect dialect, DecisionLog log, long heartbeatMillis) {
        this.reactor = reactor;
        this.clock = clock;
        this.dialect = dialect;
        this.log = log;
        this.spacingMillis = Math.round(heartbeatMillis * LEAST_SPACING);
    }

    /**
     * Finds out whether a start that has just spoken is at its address.
     *
     * @param sighting what it said, not null
     * @param healthPath where targets of its service tell their health, empty if that is not known
     */
    Promise<Boolean> ownsAddress(TargetSighting sighting, Optional<String> healthPath) {
        return look(sighting, healthPath).map(answer -> {
            boolean there = answer.orElseGet(() -> goesOnSpeaking(sighting));
            if (there) {
                firstHeardMillis.remove(sighting.id());
            }
            log.line(DecisionKind.TARGET)
                    .with(DecisionField.TARGET, sighting.id())
                    .with(DecisionField.EVENT, there ? "is at its address" : "address is another's")
                    .with(DecisionField.REASON, answer.isPresent() ? "answered there" : "no answer there")
                    .write();
            return there;
        });
    }

    private Promise<Optional<Boolean>> look(TargetSighting sighting, Optional<String> healthPath) {
        if (healthPath.isEmpty()) {
            return Promise.of(Optional.empty());
        }
        if (calls == null) {
            calls = HttpCalls.on(reactor, clock);
        }
        return calls.ask(
                        Address.parse(sighting.address()).toSocketAddress(),
                        dialect.healthProbe(healthPath.get(), sighting.name()),
                        LOOK_MILLIS)
                .then(
                        answer -> Promise.of(dialect.identifies(sighting.name(), answer.head())),
                        failure -> Promise.of(Optional.empty()));
    }

    private boolean goesOnSpeaking(TargetSighting sighting) {
        long now = clock.millis();
        long first = firstHeardMillis.computeIfAbsent(sighting.id(), key -> now);
        if (firstHeardMillis.size() > REMEMBERED) {
            firstHeardMillis.remove(firstHeardMillis.keySet().iterator().next());
        }
        return now - first >= spacingMillis;
    }
}
