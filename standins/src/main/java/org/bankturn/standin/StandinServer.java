package org.bankturn.standin;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Function;

/** An HTTP server that runs a servlet on its own port and event loop thread. */
final class StandinServer implements AutoCloseable {
    private final Eventloop eventloop;
    private final HttpServer server;

    private StandinServer(Eventloop eventloop, HttpServer server) {
        this.eventloop = eventloop;
        this.server = server;
    }

    /** Starts the server on the loopback interface. */
    static StandinServer start(int port, Function<Eventloop, AsyncServlet> servlet) throws IOException {
        Eventloop eventloop = Eventloop.builder().withThreadName("standin").build();
        HttpServer server = HttpServer.builder(eventloop, servlet.apply(eventloop))
                .withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .build();
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "standin-" + port);
        thread.setDaemon(true);
        thread.start();
        eventloop
                .submit(() -> {
                    server.listen();
                    return Promise.complete();
                })
                .join();
        return new StandinServer(eventloop, server);
    }

    @Override
    public void close() {
        eventloop.execute(server::close);
        eventloop.keepAlive(false);
    }
}
