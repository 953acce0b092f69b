package org.bankturn.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bankturn.configuration.Box;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.Service;
import org.bankturn.membership.TargetView;

/**
 * Finds the eligible targets for a request: allowed by the configuration, not leaving, and serving the current version.
 *
 * <p>Local targets come first; those of other halls are used only where both the client account and the model allow it.
 * Failures never widen the selection.
 *
 * <p>TargetSelector is thread-safe and immutable.
 */
public final class TargetSelector {
    private final Configuration configuration;
    private final TargetView view;
    private final String ownDataHall;

    /**
     * Creates a selector for a configuration.
     *
     * @param configuration the current configuration, not null
     * @param view the current state of targets, not null
     * @param ownDataHall the entry process's data hall, not null
     * @return the selector, not null
     */
    public static TargetSelector of(Configuration configuration, TargetView view, String ownDataHall) {
        return new TargetSelector(configuration, view, ownDataHall);
    }

    private TargetSelector(Configuration configuration, TargetView view, String ownDataHall) {
        this.configuration = configuration;
        this.view = view;
        this.ownDataHall = ownDataHall;
    }

    /**
     * Returns the version that serves a service.
     *
     * @param service the service, not null
     * @return the manifest in service, empty for a plain service or while no version is in service
     */
    public Optional<String> versionOf(Service service) {
        return service.hasModel()
                ? Optional.ofNullable(configuration.inService().get(service.model()))
                : Optional.empty();
    }

    /**
     * Returns the targets that may currently receive a request.
     *
     * @param service the service, not null
     * @param account the client account, not null
     * @param tried boxes to exclude, not null
     * @return the local targets if there are any, otherwise those of other allowed halls, not null
     */
    public List<Box> candidates(Service service, ClientAccount account, Set<String> tried) {
        Map<String, List<Box>> byHall = configuration.usableBoxes(service.name());
        List<Box> local = eligible(service, account, tried, byHall.getOrDefault(ownDataHall, List.of()));
        if (!local.isEmpty()) {
            return local;
        }
        return byHall.values().stream()
                .flatMap(boxes -> eligible(service, account, tried, boxes).stream())
                .toList();
    }

    private List<Box> eligible(Service service, ClientAccount account, Set<String> tried, List<Box> boxes) {
        String version = versionOf(service).orElse(null);
        if (service.hasModel() && version == null) {
            return List.of();
        }
        return boxes.stream()
                .filter(box -> !box.leaving() && account.allowsDataHall(box.dataHall()))
                .filter(box -> !tried.contains(box.name()) && view.isAvailable(box.name()))
                .filter(box -> version == null || view.serves(box.name(), version))
                .toList();
    }
}
