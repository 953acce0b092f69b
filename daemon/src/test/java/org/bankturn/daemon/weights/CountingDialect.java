package org.bankturn.daemon.weights;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.routing.EngineLoad;
import org.bankturn.weights.StartOrder;

/** A dialect whose reports consist of the number of active requests and imply that version 1 is loaded. */
final class CountingDialect implements WeightsDialect {
    private final PlainWeightsDialect plain = new PlainWeightsDialect();

    @Override
    public HttpHead report() {
        return HttpHead.request("GET", "/report", List.of());
    }

    @Override
    public Optional<EngineReport> report(byte[] body) {
        int active = Integer.parseInt(new String(body, StandardCharsets.UTF_8));
        return Optional.of(new EngineReport("m", 1, false, 0, new EngineLoad(active, 0, 0, 0, 1, false)));
    }

    @Override
    public HttpHead stage(String model, int piece) {
        return plain.stage(model, piece);
    }

    @Override
    public HttpHead readBack(String model, int piece) {
        return plain.readBack(model, piece);
    }

    @Override
    public HttpHead order(StartOrder order) {
        return plain.order(order);
    }

    @Override
    public boolean isOtherInstance(HttpHead rejection) {
        return plain.isOtherInstance(rejection);
    }

    @Override
    public Optional<String> instance(HttpHead rejection) {
        return plain.instance(rejection);
    }

    @Override
    public byte[] startOrder(StartOrder order) {
        return plain.startOrder(order);
    }

    @Override
    public HttpHead manifest(String model, int version) {
        return plain.manifest(model, version);
    }

    @Override
    public Optional<PieceManifest> manifest(byte[] body) {
        return plain.manifest(body);
    }

    @Override
    public HttpHead piece(String model, int version, int piece) {
        return plain.piece(model, version, piece);
    }
}
