package org.bankturn.daemon.weights;

import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.PieceHolder;

/**
 * The processes that take part in bringing weights to targets, as they are published at a moment.
 *
 * <p>WeightsPeers is immutable and thread-safe.
 */
final class WeightsPeers {
    /** Connections of boxes that lost their power may still count at the origin beside the new ones. */
    private static final int ORIGIN_CONNECTIONS_USED_PERCENT = 40;

    private final PublishedState published;
    private final int nodePort;

    /**
     * Returns the peers in what is published.
     *
     * @param published what is published, not null
     * @param nodePort the port at which processes of bankturn call each other, the same on every box
     */
    static WeightsPeers of(PublishedState published, int nodePort) {
        return new WeightsPeers(published, nodePort);
    }

    private WeightsPeers(PublishedState published, int nodePort) {
        this.published = published;
        this.nodePort = nodePort;
    }

    /** Returns the boxes whose targets belong to a service and stay, in one order everywhere, not null. */
    List<PieceHolder> boxesOf(String service) {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(service) && !target.draining())
                .map(this::holder)
                .sorted((one, other) -> one.box().compareTo(other.box()))
                .toList();
    }

    private PieceHolder holder(TargetSighting target) {
        Address box = new Address(Address.parse(target.address()).host(), nodePort);
        return new PieceHolder(box.toString(), target.dataHall(), target.heldVersion());
    }

    /** Returns the relays, in one order everywhere, not null. */
    List<PieceHolder> relays() {
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

    /** Returns how the weights of a service are cut up, empty if it is not known or holds none. */
    Optional<WeightsLayout> layoutOf(String service) {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().service(service).map(Service::weights);
    }

    /** Returns where weights come from, empty if the document in force names no origin. */
    Optional<Service> origin() {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().origin();
    }

    /** Returns how many connections all boxes together may have at the origin, at least one. */
    int originConnections() {
        int most = origin().map(Service::maximumConnections).orElse(0);
        return Math.max(1, most * ORIGIN_CONNECTIONS_USED_PERCENT / 100);
    }
}
