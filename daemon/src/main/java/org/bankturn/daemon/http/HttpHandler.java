package org.bankturn.daemon.http;

/** Handles requests after their bodies have been received completely. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request; the response is sent through the exchange, now or later.
     *
     * @param exchange the request and the means to respond to it, not null
     */
    void handle(ServerExchange exchange);
}
