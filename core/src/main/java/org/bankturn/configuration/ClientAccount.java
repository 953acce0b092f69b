package org.bankturn.configuration;

import java.util.List;

/**
 * A customer whose requests bankturn routes.
 *
 * @param name the account name, not null
 * @param weight the account's relative share of capacity, at least 1
 * @param dataHalls the data halls in which its requests may be processed, not empty
 */
public record ClientAccount(String name, int weight, List<String> dataHalls) {
    /**
     * Returns whether the account's requests may be processed in a data hall.
     *
     * @param dataHall the name of the data hall, not null
     * @return true if the data hall is allowed
     */
    public boolean allowsDataHall(String dataHall) {
        return dataHalls.contains(dataHall);
    }
}
