package org.bankturn.daemon.weights;

import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.WeightsPeer;

/**
 * The processes that take part in the distribution of weights, derived from one publication.
 *
 * <p>This class is immutable and thread-safe.
 */
final class WeightsPeers {
    /** Leaves a reserve, since the origin may still count connections of boxes that lost power. */
    private static final int USABLE_ORIGIN_CONNECTIONS_PERCENT = 40;

    private final PublishedState published;
    private final int nodePort;

    /**
     * Returns the peers of a publication.
     *
     * @param published the publication, not null
     * @param nodePort the port for calls between daemon processes, the same on every box
     */
    static WeightsPeers of(PublishedState published, int nodePort) {
        return new WeightsPeers(published, nodePort);
    }

    private WeightsPeers(PublishedState published, int nodePort) {
        this.published = published;
        this.nodePort = nodePort;
    }

    /** Returns the boxes of a service's targets that are not draining, in an order that is the same everywhere, not null. */
    List<WeightsPeer> boxesOf(String service) {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(service) && !target.draining())
                .map(this::holder)
                .sorted((one, other) -> one.box().compareTo(other.box()))
                .toList();
    }

    /** Returns the target that is published at an address, empty unless there is exactly one. */
    Optional<TargetSighting> targetAt(Address address) {
        List<TargetSighting> found = published.targets().values().stream()
                .filter(target -> target.address().equals(address.toString()))
                .toList();
        return found.size() == 1 ? Optional.of(found.get(0)) : Optional.empty();
    }

    private WeightsPeer holder(TargetSighting target) {
        Address box = new Address(Address.parse(target.address()).host(), nodePort);
        return new WeightsPeer(box.toString(), target.dataHall(), target.heldVersion());
    }

    /** Returns the relays, in an order that is the same everywhere, not null. */
    List<WeightsPeer> relays() {
        return boxesOf(WeightsRelay.SERVICE);
    }

    /** Returns the service whose engines run a model, empty if none does. */
    Optional<Service> serviceOf(String model) {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().services().values().stream()
                        .filter(service -> service.weights() != null
                                && service.weights().model().equals(model))
                        .findFirst();
    }

    /** Returns the weights layout of a service, empty if the service is unknown or has no weights. */
    Optional<WeightsLayout> layoutOf(String service) {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().service(service).map(Service::weights);
    }

    /** Returns the origin of weights, empty if the active configuration has none. */
    Optional<Service> origin() {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().origin();
    }

    /** Returns the limit of connections from all boxes to the origin, at least one. */
    int originConnections() {
        int maximum = origin().map(Service::maximumConnections).orElse(0);
        return Math.max(1, maximum * USABLE_ORIGIN_CONNECTIONS_PERCENT / 100);
    }
}
