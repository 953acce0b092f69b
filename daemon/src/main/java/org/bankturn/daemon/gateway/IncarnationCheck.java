package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.net.ConnectException;
import java.util.Optional;
import org.bankturn.daemon.http.HealthDialect;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.ResponseListener;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.http.TransportFailure;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Asks the process at a target's address which incarnation it is.
 *
 * <p>That an address accepts connections does not show that the target lives: the kernel accepts them for a process that
 * is being killed or hangs, and a successor may listen there by then. Only an answer that names the incarnation does.
 *
 * <p>Health answers carry no request id, so that a late second copy of one could be taken for the response to a later
 * request on its connection. A connection of a check is therefore closed after the check.
 *
 * <p>IncarnationCheck is confined to its reactor's thread.
 */
final class IncarnationCheck implements ResponseListener {
    /** Connect timeout; a path between regions takes 6 ms. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** Exceeds the size of a health answer. */
    private static final long MAX_ANSWER_BYTES = 64 << 10;

    /** The first pause after a connection or an answer that showed nothing; doubles, so as not to add to an overload. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 50;

    private final Dependencies dependencies;
    private final TargetSighting target;
    private final String healthPath;
    private final TargetConnection witness;
    private final long endMillis;
    private final SettablePromise<Void> contact = new SettablePromise<>();
    private final SettablePromise<Result> result = new SettablePromise<>();
    private TargetConnection connection;
    private long retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
    private long backOffMillis;
    private int requests;

    /**
     * What checks need.
     *
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param dialect the format of health requests, not null
     * @param connections the pool that receives connections which nothing was sent on, not null
     */
    record Dependencies(Eventloop reactor, Clock clock, HealthDialect dialect, TargetConnectionPool connections) {}

    /**
     * The result of a check.
     *
     * @param outcome what it has shown, not null
     * @param sender the name of the target that answered, empty if none did or the answer did not tell it, not null
     * @param requests the number of health requests sent
     */
    record Result(CheckOutcome outcome, Optional<String> sender, int requests) {}

    /**
     * Starts a check.
     *
     * @param dependencies what it needs, not null
     * @param target the incarnation, not null
     * @param healthPath the health path of its service; null if the target must not be asked, which leaves the check
     *     undecided unless the address refuses the connection
     * @param timeoutMillis the time after which the check ends undecided
     */
    static IncarnationCheck start(
            Dependencies dependencies, TargetSighting target, String healthPath, long timeoutMillis) {
        return start(dependencies, target, healthPath, null, timeoutMillis);
    }

    /**
     * Starts a check.
     *
     * @param dependencies what it needs, not null
     * @param target the incarnation, not null
     * @param healthPath the health path of its service, null if the target must not be asked
     * @param witness a connection that the incarnation is known to have accepted, null if there is none
     * @param timeoutMillis the time after which the check ends undecided
     */
    static IncarnationCheck start(
            Dependencies dependencies,
            TargetSighting target,
            String healthPath,
            TargetConnection witness,
            long timeoutMillis) {
        IncarnationCheck check = new IncarnationCheck(dependencies, target, healthPath, witness, timeoutMillis);
        dependencies.reactor().delayBackground(timeoutMillis, check::timeOut);
        if (witness == null) {
            check.connect();
        } else {
            check.ask(witness);
        }
        return check;
    }

    private IncarnationCheck(
            Dependencies dependencies,
            TargetSighting target,
            String healthPath,
            TargetConnection witness,
            long timeoutMillis) {
        this.dependencies = dependencies;
        this.target = target;
        this.healthPath = healthPath;
        this.witness = witness;
        this.endMillis = dependencies.clock().millis() + timeoutMillis;
    }

    /** Returns a promise that completes when the address accepts or refuses a connection, or the check ends, not null. */
    Promise<Void> contact() {
        return contact;
    }

    /** Returns a promise of the result, not null. */
    Promise<Result> result() {
        return result;
    }

    /** Returns true if a failure to connect means that no process listens on the address. */
    static boolean isRefused(Exception connectFailure) {
        return connectFailure instanceof ConnectException;
    }

    private void connect() {
        if (result.isComplete()) {
            return;
        }
        long timeoutMillis = Math.max(1, Math.min(CONNECT_TIMEOUT_MILLIS, endMillis - now()));
        TargetConnection.connect(
                        dependencies.reactor(),
                        dependencies.clock(),
                        Address.parse(target.address()).toSocketAddress(),
                        timeoutMillis)
                .whenComplete(this::onConnected);
    }

    private void onConnected(TargetConnection opened, Exception failure) {
        if (result.isComplete()) {
            if (opened != null) {
                opened.close();
            }
            return;
        }
        if (isRefused(failure)) {
            finish(CheckOutcome.REFUSED, Optional.empty());
        } else if (failure != null) {
            retry();
        } else {
            ask(opened);
        }
    }

    private void ask(TargetConnection opened) {
        contact.trySet(null);
        if (healthPath == null) {
            opened.close();
            finish(CheckOutcome.UNDECIDED, Optional.empty());
            return;
        }
        connection = opened;
        requests++;
        HttpHead probe = dependencies.dialect().healthProbe(healthPath, target.name());
        opened.send(probe.with("Host", target.address()).encode(), false, this);
    }

    private void retry() {
        long delayMillis = Math.max(retryDelayMillis, backOffMillis);
        retryDelayMillis *= 2;
        if (now() + delayMillis >= endMillis) {
            finish(CheckOutcome.UNDECIDED, Optional.empty());
        } else {
            dependencies.reactor().delayBackground(delayMillis, this::connect);
        }
    }

    @Override
    public long maxResponseBytes() {
        return MAX_ANSWER_BYTES;
    }

    @Override
    public boolean onHead(HttpHead answer) {
        backOffMillis = dependencies.dialect().backOffMillis(answer);
        Optional<Boolean> same = dependencies.dialect().identifies(target.name(), answer);
        same.ifPresent(
                isSame -> finish(outcomeOf(isSame), dependencies.dialect().sender(answer)));
        return true;
    }

    private CheckOutcome outcomeOf(boolean sameName) {
        if (!sameName) {
            return CheckOutcome.REPLACED;
        }
        boolean sameIncarnation = target.hasUniqueName() || connection == witness;
        return sameIncarnation ? CheckOutcome.ANSWERED : CheckOutcome.UNDECIDED;
    }

    @Override
    public void onBodyPart(byte[] bytes) {
        // the head alone identifies the sender
    }

    @Override
    public void onEndOfConnection() {
        onComplete();
    }

    @Override
    public void onComplete() {
        connection.close();
        connection = null;
        if (!result.isComplete()) {
            retry();
        }
    }

    @Override
    public void onFailure(TransportFailure failure) {
        connection = null;
        if (!result.isComplete()) {
            retry();
        }
    }

    private void timeOut() {
        if (connection != null) {
            connection.close();
        }
        if (!result.isComplete()) {
            finish(CheckOutcome.UNDECIDED, Optional.empty());
        }
    }

    private void finish(CheckOutcome found, Optional<String> sender) {
        result.set(new Result(found, sender, requests));
        contact.trySet(null);
    }

    private long now() {
        return dependencies.clock().millis();
    }
}
