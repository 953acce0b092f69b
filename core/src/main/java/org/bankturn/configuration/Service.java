package org.bankturn.configuration;

/**
 * Something that callers ask for: a model's assistant, or a plain service.
 *
 * @param name the service's name, not null
 * @param model the model that answers, null for a plain service
 * @param requestsAtOnce the requests that one target works on at a time
 */
public record Service(String name, String model, int requestsAtOnce) {
    /** Returns true if a model answers. */
    public boolean hasModel() {
        return model != null;
    }
}
