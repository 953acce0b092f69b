package org.bankturn.configuration;

import java.util.List;
import org.bankturn.distribution.DistributionPolicy;

/**
 * A model whose weights bankturn distributes.
 *
 * @param name the model name, not null
 * @param dataHalls the data halls in which its weights may be stored, not empty
 * @param version the name of the desired version, not null
 * @param policy the policy for distributing a new version, not null
 * @param entersServiceAt the number of boxes that must have loaded a version before it enters service
 */
public record Model(
        String name, List<String> dataHalls, String version, DistributionPolicy policy, int entersServiceAt) {
    /**
     * Returns whether the model's weights may be stored in a data hall.
     *
     * @param dataHall the name of the data hall, not null
     * @return true if the data hall is allowed
     */
    public boolean allowsDataHall(String dataHall) {
        return dataHalls.contains(dataHall);
    }
}
