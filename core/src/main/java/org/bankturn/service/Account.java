package org.bankturn.service;

import java.util.List;

/**
 * A client account and the keys that speak for it.
 *
 * @param name the account's name, not null
 * @param keys its keys, not null
 * @param priority the rank of its requests, 0 first; -1 to take each route's
 */
public record Account(String name, List<String> keys, int priority) {
    /** Copies the keys. */
    public Account {
        keys = List.copyOf(keys);
    }
}
