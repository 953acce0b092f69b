package org.bankturn.daemon.wire;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.time.Clock;

/**
 * The clients of one process, one for each other process that it asks.
 *
 * <p>{@link #ask} is confined to the reactor's thread; {@link #askFromAnyThread} is not.
 */
public final class NodeClients {
    private static final long TELL_TIMEOUT_MILLIS = 1_000;

    /** A connection that rested longer may have gone silent unnoticed; the slowest regular questions come each 4 s. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final ConnectionObserver observer;
    private final ConnectionReusePolicy reusePolicy;
    private final Map<Address, NodeClient> clients = new HashMap<>();

    /**
     * Creates an empty set of clients.
     *
     * @param reactor the reactor whose thread they run on, not null
     * @return the clients, not null
     */
    public static NodeClients on(NioReactor reactor) {
        return on(reactor, Clock.system(), ConnectionObserver.NONE);
    }

    /**
     * Creates an empty set of clients.
     *
     * @param reactor the reactor whose thread they run on, not null
     * @param clock the time, not null
     * @param observer hears of connections that went silent, not null
     * @return the clients, not null
     */
    public static NodeClients on(NioReactor reactor, Clock clock, ConnectionObserver observer) {
        return new NodeClients(reactor, clock, observer);
    }

    private NodeClients(NioReactor reactor, Clock clock, ConnectionObserver observer) {
        this.reactor = reactor;
        this.clock = clock;
        this.observer = observer;
        this.reusePolicy = ConnectionReusePolicy.of(clock, MAX_IDLE_MILLIS);
    }

    /**
     * Asks another process.
     *
     * @param address its node address, not null
     * @param request the request, not null
     * @param timeoutMillis how long to wait for the reply
     * @return the reply; fails if none came
     */
    public Promise<NodeReply> ask(Address address, NodeRequest request, long timeoutMillis) {
        return clients.computeIfAbsent(address, key -> new NodeClient(reactor, key, clock, reusePolicy, observer))
                .ask(request, timeoutMillis);
    }

    /**
     * Asks another process from any thread.
     *
     * @param address its node address, not null
     * @param request the request, not null
     * @param timeoutMillis how long to wait for the reply
     * @return the reply; fails if none came
     */
    public CompletableFuture<NodeReply> askFromAnyThread(Address address, NodeRequest request, long timeoutMillis) {
        CompletableFuture<NodeReply> result = new CompletableFuture<>();
        reactor.execute(() -> ask(address, request, timeoutMillis).whenComplete((reply, failure) -> {
            if (failure != null) {
                result.completeExceptionally(failure);
            } else {
                result.complete(reply);
            }
        }));
        return result;
    }

    /**
     * Sends a message whose reply does not matter and that may be lost.
     *
     * @param address the other process's node address, not null
     * @param request the message, not null
     */
    public void tell(Address address, NodeRequest request) {
        reactor.execute(() -> ask(address, request, TELL_TIMEOUT_MILLIS));
    }

    /**
     * Returns which of the process's kept connections may be used, by what was seen on others, not null; its times are
     * those of the clock that these clients were given.
     */
    public ConnectionReusePolicy reusePolicy() {
        return reusePolicy;
    }

    /** Closes every connection. */
    public void close() {
        clients.values().forEach(NodeClient::close);
    }
}
