package org.bankturn.configuration;

/**
 * A service that clients can call, backed by a model or by a plain HTTP server.
 *
 * @param name the service name, not null
 * @param model the name of the model that backs the service, null for a plain service
 * @param requestsAtOnce the maximum number of concurrent requests per target
 */
public record Service(String name, String model, int requestsAtOnce) {
    /** Returns true if the service is backed by a model. */
    public boolean hasModel() {
        return model != null;
    }
}
