package org.bankturn.routing;

import java.util.Optional;
import java.util.TreeSet;
import org.bankturn.service.Account;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.Route;
import org.bankturn.service.ServingConfiguration;

/**
 * Determines the regions in which a request may be served.
 *
 * <p>RequestRegions has no state.
 */
final class RequestRegions {
    /** The maximum number of regions that a reason names, which bounds the log line. */
    private static final int MAX_NAMED_REGIONS = 8;

    private RequestRegions() {}

    /**
     * Returns the regions that both the route and the account of a request allow by the configuration in force, not null.
     * A route or account that is gone from it restricts the request as it did on arrival.
     *
     * @param request the request, not null
     * @param current the configuration in force, null if there is none
     */
    static AllowedRegions of(RequestProgress request, ServingConfiguration current) {
        Route route = request.route();
        Optional<Account> account = request.account();
        if (current != null) {
            route = current.currentForm(route).orElse(route);
            account = account.map(arrived -> current.account(arrived.name()).orElse(arrived));
        }
        AllowedRegions ofAccount = account.map(Account::allowedRegions).orElse(AllowedRegions.ANY);
        return route.allowedRegions().and(ofAccount);
    }

    /** Returns why a request without a target in its regions is rejected, for the log, not null. */
    static String reason(AllowedRegions regions) {
        if (regions.names().isEmpty()) {
            return "the route and the account allow no common region";
        }
        TreeSet<String> names = new TreeSet<>(regions.names());
        String listed =
                String.join(", ", names.stream().limit(MAX_NAMED_REGIONS).toList());
        return "no target left in regions " + listed + (names.size() > MAX_NAMED_REGIONS ? " and others" : "");
    }
}
