package org.bankturn.routing;

import java.util.Set;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.Service;

/**
 * The requirements of a request on its target.
 *
 * @param service the service, not null
 * @param minVersion the minimum version of the weights, 0 for any, -1 if the service has none
 * @param deadlines when requests must start on newer weights, not null
 * @param promptTokens the size of the prompt
 * @param objectiveMillis the objective for the first event
 * @param excluded the incarnations that were tried, not null
 * @param lastAttempt true if the request would be lost if its target interrupted it
 * @param regions the regions in which the request may be served, not null
 */
public record Requirements(
        Service service,
        int minVersion,
        VersionDeadlines deadlines,
        int promptTokens,
        long objectiveMillis,
        Set<String> excluded,
        boolean lastAttempt,
        AllowedRegions regions) {
    /** Returns the requirements of a request that may be interrupted and may be served in any region. */
    public Requirements(
            Service service,
            int minVersion,
            VersionDeadlines deadlines,
            int promptTokens,
            long objectiveMillis,
            Set<String> excluded) {
        this(service, minVersion, deadlines, promptTokens, objectiveMillis, excluded, false, AllowedRegions.ANY);
    }
}
