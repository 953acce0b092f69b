package org.bankturn.service;

import java.util.List;

/**
 * A client account and its API keys.
 *
 * @param name the account name, not null
 * @param keys the API keys that authenticate the account, not null
 * @param priority the priority of its requests, 0 being the highest; -1 to use the priority of the route
 */
public record Account(String name, List<String> keys, int priority) {
    /** Creates an account with a copy of the keys. */
    public Account {
        keys = List.copyOf(keys);
    }
}
