package org.bankturn.configuration;

import java.util.List;
import org.bankturn.distribution.DistributionPolicy;

/**
 * A model whose weights bankturn moves.
 *
 * @param name the model's name, not null
 * @param dataHalls the halls where its weights may live, not empty
 * @param version the version that the operators want in service, not null
 * @param policy what a burst of this model prefers, not null
 * @param entersServiceAt the boxes that must have loaded a version before it enters service
 */
public record Model(
        String name, List<String> dataHalls, String version, DistributionPolicy policy, int entersServiceAt) {
    /**
     * Tells whether this model's weights may live in a hall.
     *
     * @param dataHall the hall's name, not null
     * @return true if the files allow it
     */
    public boolean allowsDataHall(String dataHall) {
        return dataHalls.contains(dataHall);
    }
}
