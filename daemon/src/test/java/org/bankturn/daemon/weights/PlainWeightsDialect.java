package org.bankturn.daemon.weights;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.weights.StartOrder;

/** A dialect for tests: the request target names the operation, a manifest lists one digest per line. */
public final class PlainWeightsDialect implements WeightsDialect {
    static final String MODEL = "m";
    static final int VERSION = 2;

    @Override
    public HttpHead report() {
        return call("report");
    }

    @Override
    public Optional<EngineReport> report(byte[] body) {
        return Optional.empty();
    }

    @Override
    public HttpHead stage(String model, int piece) {
        return call("put/" + piece);
    }

    @Override
    public HttpHead readBack(String model, int piece) {
        return call("get/" + piece);
    }

    @Override
    public HttpHead order(StartOrder order) {
        return call("order");
    }

    @Override
    public boolean isOtherInstance(HttpHead rejection) {
        return false;
    }

    @Override
    public Optional<String> instance(HttpHead rejection) {
        return Optional.empty();
    }

    @Override
    public byte[] startOrder(StartOrder order) {
        return ("start " + order.version() + " " + order.method()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public HttpHead manifest(String model, int version) {
        return call("manifest");
    }

    @Override
    public Optional<PieceManifest> manifest(byte[] body) {
        List<String> digests = new String(body, StandardCharsets.UTF_8).lines().toList();
        return Optional.of(new PieceManifest(MODEL, VERSION, digests));
    }

    @Override
    public HttpHead piece(String model, int version, int piece) {
        return call("piece/" + piece);
    }

    private static HttpHead call(String target) {
        return HttpHead.request("CALL", target, List.of());
    }
}
