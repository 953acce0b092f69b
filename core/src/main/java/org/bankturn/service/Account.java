package org.bankturn.service;

import java.util.List;

/**
 * A client account and its API keys.
 *
 * @param name the account name, not null
 * @param keys the API keys that authenticate the account, not null
 * @param priority the priority of its requests, 0 being the highest; -1 to use the priority of the route
 * @param allowedRegions the regions in which its requests may be served, not null
 */
public record Account(String name, List<String> keys, int priority, AllowedRegions allowedRegions) {
    /** Creates an account with a copy of the keys. */
    public Account {
        keys = List.copyOf(keys);
    }

    /** Creates an account whose requests may be served in any region. */
    public Account(String name, List<String> keys, int priority) {
        this(name, keys, priority, AllowedRegions.ANY);
    }
}
