package org.bankturn.daemon;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * HTTP to the next hop, which tells whether a failed request can have left this process.
 *
 * <p>Connections are not kept for another request, so a failure to connect is the only failure in which no byte left.
 *
 * <p>BackendClient is confined to its reactor's thread.
 */
public final class BackendClient {
    private static final Logger LOG = System.getLogger(BackendClient.class.getName());
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client;

    /** Notes what became of one request's connection. */
    public static final class ConnectionWitness {
        private boolean neverConnected;

        private ConnectionWitness() {}

        /** Returns true if no connection came about, so that no byte of the request can have left. */
        public boolean neverConnected() {
            return neverConnected;
        }
    }

    /**
     * A request under way.
     *
     * @param witness tells, once the response has failed, whether any byte can have left, not null
     * @param response the response's headers with its body as a stream, not null
     */
    public record Exchange(ConnectionWitness witness, Promise<HttpResponse> response) {}

    /**
     * Creates a client.
     *
     * @param reactor the reactor whose thread it runs on, not null
     * @return the client, not null
     */
    public static BackendClient on(NioReactor reactor) {
        return new BackendClient(reactor);
    }

    private BackendClient(NioReactor reactor) {
        this.client = HttpClient.builder(reactor)
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withNoKeepAlive()
                .withInspector(new WitnessInspector())
                .build();
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @return the exchange, not null
     */
    public Exchange send(HttpRequest request) {
        ConnectionWitness witness = new ConnectionWitness();
        request.attach(ConnectionWitness.class, witness);
        return new Exchange(witness, client.request(request).then(BackendClient::requireWellFormed));
    }

    /** Fails, and closes the connection, if the response is malformed; what became of the request is unknown then. */
    private static Promise<HttpResponse> requireWellFormed(HttpResponse response) {
        Optional<String> malformation = MessageCheck.malformationOf(response);
        if (malformation.isEmpty()) {
            return Promise.of(response);
        }
        LOG.log(Level.WARNING, "malformed response: " + malformation.get());
        MalformedHttpException failure = new MalformedHttpException(malformation.get());
        response.takeBodyStream().closeEx(failure);
        return Promise.ofException(failure);
    }

    /**
     * Copies the headers of a response that are passed on, and its body as a stream.
     *
     * @param response the response of the next hop, not null
     * @param body its body, maybe watched, not null
     * @return the answer to the hop before, not yet built, not null
     */
    public static HttpResponse.Builder passOn(HttpResponse response, ChannelSupplier<ByteBuf> body) {
        HttpResponse.Builder builder = HttpResponse.ofCode(response.getCode());
        response.getHeaders().forEach(header -> {
            if (!BankturnHeaders.staysOnThisHop(header.getKey().toString())) {
                builder.withHeader(header.getKey(), header.getValue().toString());
            }
        });
        return builder.withBodyStream(body);
    }

    private static final class WitnessInspector extends AbstractInspector<HttpClient.Inspector>
            implements HttpClient.Inspector {
        @Override
        public void onRequest(HttpRequest request) {}

        @Override
        public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {}

        @Override
        public void onResolve(HttpRequest request, DnsResponse response) {}

        @Override
        public void onResolveError(HttpRequest request, Exception failure) {
            noteNeverConnected(request);
        }

        @Override
        public void onConnecting(HttpRequest request, InetSocketAddress address) {}

        @Override
        public void onConnect(HttpRequest request, HttpClientConnection connection) {}

        @Override
        public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
            noteNeverConnected(request);
        }

        @Override
        public void onHttpResponse(HttpResponse response) {}

        @Override
        public void onHttpError(HttpClientConnection connection, Exception failure) {}

        @Override
        public void onMalformedHttpResponse(
                HttpClientConnection connection, MalformedHttpException failure, byte[] data) {}

        @Override
        public void onDisconnect(HttpClientConnection connection) {}

        private static void noteNeverConnected(HttpRequest request) {
            ConnectionWitness witness = request.getAttachment(ConnectionWitness.class);
            if (witness != null) {
                witness.neverConnected = true;
            }
        }
    }
}
