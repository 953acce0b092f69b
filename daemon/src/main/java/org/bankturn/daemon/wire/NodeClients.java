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
 * The clients through which a process sends requests, one for each other process.
 *
 * <p>{@link #askFromAnyThread} and {@link #tell} may be called from any thread, other methods only from the reactor's.
 */
public final class NodeClients {
    private static final long TELL_TIMEOUT_MILLIS = 1_000;

    /** Exceeds the longest interval between regular requests, 4 s, so that connections in regular use are kept. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    /**
     * The size of what may wait on one connection when a message is added. Ten processes that do not read, two connections
     * each, cost a third of the heap.
     */
    private static final long MAX_UNSENT_BYTES = Runtime.getRuntime().maxMemory() / 64;

    private final NioReactor reactor;
    private final Clock clock;
    private final ConnectionObserver observer;
    private final ConnectionReusePolicy reusePolicy;
    private final long maxUnsentBytes;
    private final Map<Address, NodeClient> clients = new HashMap<>();

    /**
     * Creates an empty set of clients.
     *
     * @param reactor the reactor on whose thread they run, not null
     * @return the clients, not null
     */
    public static NodeClients on(NioReactor reactor) {
        return on(reactor, Clock.system(), ConnectionObserver.NONE);
    }

    /**
     * Creates an empty set of clients.
     *
     * @param reactor the reactor on whose thread they run, not null
     * @param clock the clock for connection ages, not null
     * @param observer notified of connections closed for silence, not null
     * @return the clients, not null
     */
    public static NodeClients on(NioReactor reactor, Clock clock, ConnectionObserver observer) {
        return on(reactor, clock, observer, MAX_UNSENT_BYTES);
    }

    static NodeClients on(NioReactor reactor, Clock clock, ConnectionObserver observer, long maxUnsentBytes) {
        return new NodeClients(reactor, clock, observer, maxUnsentBytes);
    }

    private NodeClients(NioReactor reactor, Clock clock, ConnectionObserver observer, long maxUnsentBytes) {
        this.maxUnsentBytes = maxUnsentBytes;
        this.reactor = reactor;
        this.clock = clock;
        this.observer = observer;
        this.reusePolicy = ConnectionReusePolicy.of(clock, MAX_IDLE_MILLIS);
    }

    /**
     * Sends a request to another process.
     *
     * @param address its node address, not null
     * @param request the request, not null
     * @param timeoutMillis the timeout for the reply
     * @return the reply; fails if none is received in time
     */
    public Promise<NodeReply> ask(Address address, NodeRequest request, long timeoutMillis) {
        return clients.computeIfAbsent(
                        address, key -> new NodeClient(reactor, key, clock, reusePolicy, observer, maxUnsentBytes))
                .ask(request, timeoutMillis);
    }

    /**
     * Sends a request to another process, from any thread.
     *
     * @param address its node address, not null
     * @param request the request, not null
     * @param timeoutMillis the timeout for the reply
     * @return the reply; fails if none is received in time
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
     * Sends a message without delivery guarantee and ignores the reply. It is dropped if too much waits to be sent.
     *
     * @param address the other process's node address, not null
     * @param request the message, not null
     */
    public void tell(Address address, NodeRequest request) {
        reactor.execute(() -> ask(address, request, TELL_TIMEOUT_MILLIS));
    }

    /**
     * Returns the policy that decides which of the process's connections may be reused, not null; its times are those of
     * the clock of these clients.
     */
    public ConnectionReusePolicy reusePolicy() {
        return reusePolicy;
    }

    /** Closes every connection. */
    public void close() {
        clients.values().forEach(NodeClient::close);
    }
}
