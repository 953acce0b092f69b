package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.daemon.wire.SilencingRelay;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.junit.jupiter.api.AfterEach;

/** Base of tests in which connections to targets, and to the processes beside them, stop carrying data. */
abstract class SilentConnectionFixture extends GatewayFixture {
    private static final EngineModel ENGINE = new EngineModel(16, 1_000_000, 10, 0.02, 0.03, 20, 2_048, 5, 40);
    private static final EngineLoad LIGHT_LOAD = new EngineLoad(3, 0, 0, 1_000_000, 1, false);
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final int ATTEMPTS = 2;

    final List<SilencingRelay> targetRelays = new ArrayList<>();
    final List<SilencingRelay> loadRelays = new ArrayList<>();

    @AfterEach
    void closeRelays() throws IOException {
        for (SilencingRelay relay : targetRelays) {
            relay.close();
        }
        for (SilencingRelay relay : loadRelays) {
            relay.close();
        }
    }

    /** Publishes engines, each with a process beside it that reports its load. */
    void publishEngines(RequestKind kind, List<ScriptedTarget> engines) throws IOException {
        publishEngines(kind, engines, LIGHT_LOAD);
    }

    /** Publishes engines, each with a process beside it that reports the given load. */
    void publishEngines(RequestKind kind, List<ScriptedTarget> engines, EngineLoad reported) throws IOException {
        Address loads = startLoadServer(reported);
        Service service = new Service("chat", "/health", 100, ENGINE, new WeightsLayout("m", 1, 4, 10), null, null);
        publishTargets(kind, service, engines, 1);
        for (SilencingRelay relay : targetRelays) {
            loadRelays.add(SilencingRelay.at(new Address(relay.address().host(), nodeAddress.port()), loads));
        }
    }

    /** Publishes targets without load reports. */
    void publishPlain(RequestKind kind, List<ScriptedTarget> plain) throws IOException {
        publishTargets(kind, new Service("chat", "/health", 100, null, null, null, null), plain, -1);
    }

    int silentConnectionsUsed() {
        return targetRelays.stream()
                .mapToInt(SilencingRelay::silentConnectionsUsed)
                .sum();
    }

    private void publishTargets(RequestKind kind, Service service, List<ScriptedTarget> behind, int heldVersion)
            throws IOException {
        Map<String, TargetSighting> sightings = new HashMap<>();
        sightings.put(
                "relay-test",
                new TargetSighting(
                        "relay-test", WeightsRelay.SERVICE, nodeAddress.toString(), "north", 0, false, -1, 1));
        for (ScriptedTarget target : behind) {
            int number = targetRelays.size() + 1;
            Address destination = Address.parse(target.address());
            SilencingRelay relay = SilencingRelay.at(new Address("127.0.1." + number, destination.port()), destination);
            targetRelays.add(relay);
            String id = "t" + number;
            sightings.put(
                    id, new TargetSighting(id, "chat", relay.address().toString(), "north", 16, false, heldVersion, 1));
        }
        update(
                new PublishedState(
                        1,
                        configuration(kind, ATTEMPTS, TIMEOUT_MILLIS, service),
                        List.of(),
                        sightings,
                        List.of(),
                        true),
                clock.millis());
    }

    /** Starts a server that reports the load of every engine. */
    private Address startLoadServer(EngineLoad reported) {
        Address address = FreeAddresses.next();
        NodeReply load = new NodeReply.Load(reported, 0, 0);
        reactor.submit(() -> {
                    NodeServer.create(reactor, address, question -> Promise.of(load))
                            .listen();
                    return Promise.complete();
                })
                .join();
        return address;
    }
}
