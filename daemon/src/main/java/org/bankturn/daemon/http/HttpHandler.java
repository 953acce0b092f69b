package org.bankturn.daemon.http;

/** Takes requests whose bodies have come whole. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Takes a request; the answer is given through the exchange, now or later.
     *
     * @param exchange the request and the way back, not null
     */
    void handle(ServerExchange exchange);
}
