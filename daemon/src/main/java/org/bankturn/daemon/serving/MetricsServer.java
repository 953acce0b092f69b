package org.bankturn.daemon.serving;

import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.util.List;
import org.bankturn.daemon.http.HttpField;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.HttpListener;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.ServerLimits;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.time.Clock;

/** Serves the metrics of a process in the Prometheus text format at every path; confined to its reactor's thread. */
final class MetricsServer {
    private static final HttpField CONTENT_TYPE =
            new HttpField("Content-Type", "text/plain; version=0.0.4; charset=utf-8");

    private final HttpListener listener;
    private final ServingMetrics metrics;

    static MetricsServer of(NioReactor reactor, Clock clock, Address address, ServingMetrics metrics) {
        return new MetricsServer(reactor, clock, address, metrics);
    }

    private MetricsServer(NioReactor reactor, Clock clock, Address address, ServingMetrics metrics) {
        this.metrics = metrics;
        this.listener = HttpListener.create(
                reactor, clock, address.toSocketAddress(), () -> ServerLimits.CONTROL, this::answer);
    }

    void listen() throws IOException {
        listener.listen();
    }

    private void answer(ServerExchange exchange) {
        exchange.respond(HttpHead.response(200, List.of(CONTENT_TYPE)), metrics.metricsText());
    }
}
