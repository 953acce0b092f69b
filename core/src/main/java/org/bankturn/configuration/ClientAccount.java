package org.bankturn.configuration;

import java.util.List;

/**
 * A customer whose requests bankturn routes.
 *
 * @param name the account's name, not null
 * @param weight its share against the other accounts, from 1
 * @param dataHalls the halls where its requests may be worked on, not empty
 */
public record ClientAccount(String name, int weight, List<String> dataHalls) {
    /**
     * Tells whether this account's requests may be worked on in a hall.
     *
     * @param dataHall the hall's name, not null
     * @return true if the files allow it
     */
    public boolean allowsDataHall(String dataHall) {
        return dataHalls.contains(dataHall);
    }
}
