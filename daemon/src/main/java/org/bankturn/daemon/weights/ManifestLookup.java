package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.Consumer;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.wire.NodeRequest;

/**
 * Looks up the manifest of a version that is not copied, at other boxes and then at the origin, until it is found or
 * stopped.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class ManifestLookup {
    private static final long RETRY_MILLIS = 1_000;

    private final CopyContext context;
    private final String model;
    private final int version;
    private final List<String> boxes;
    private final Consumer<byte[]> onFound;
    private boolean stopped;

    /**
     * Returns a lookup that has not been started.
     *
     * @param boxes the boxes that are asked before the origin, not null
     * @param onFound accepts a manifest that names the model's version, not null
     */
    static ManifestLookup of(
            CopyContext context, String model, int version, List<String> boxes, Consumer<byte[]> onFound) {
        return new ManifestLookup(context, model, version, boxes, onFound);
    }

    private ManifestLookup(
            CopyContext context, String model, int version, List<String> boxes, Consumer<byte[]> onFound) {
        this.context = context;
        this.model = model;
        this.version = version;
        this.boxes = List.copyOf(boxes);
        this.onFound = onFound;
    }

    void start() {
        ask(0);
    }

    void stop() {
        stopped = true;
    }

    private void ask(int source) {
        if (stopped) {
            return;
        }
        boolean origin = source >= boxes.size();
        Promise<byte[]> answer = origin ? askOrigin() : askBox(boxes.get(source));
        answer.whenComplete((bytes, failure) -> {
            if (stopped) {
                return;
            }
            if (isManifest(bytes)) {
                stopped = true;
                onFound.accept(bytes);
            } else if (origin) {
                logFailure(failure);
                context.reactor().delayBackground(RETRY_MILLIS, () -> ask(0));
            } else {
                ask(source + 1);
            }
        });
    }

    private Promise<byte[]> askBox(String box) {
        return context.requestPiece(box, new NodeRequest.GetPiece(model, version, WeightsCopy.MANIFEST));
    }

    private Promise<byte[]> askOrigin() {
        return context.callOrigin(context.dialect().manifest(model, version)).map(answer -> answer.body());
    }

    private boolean isManifest(byte[] bytes) {
        return bytes != null
                && context.dialect()
                        .manifest(bytes)
                        .filter(manifest -> manifest.version() == version)
                        .isPresent();
    }

    private void logFailure(Exception failure) {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "manifest not found")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.ERROR, failure == null ? "malformed" : failure.getMessage())
                .write();
    }
}
