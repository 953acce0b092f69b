package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.FormerStart;
import org.bankturn.weights.StagedPieces;

/**
 * Finds out whether the engine may still execute a start order that a former process of this box has sent.
 *
 * <p>A process forgets its unanswered order when it ends. Until its successor knows which order is possible, it must not
 * stage any piece.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class FormerStartCheck {
    /** How long after its sending an engine may execute an order; used only where the staged pieces prove nothing. */
    private static final long MAX_ORDER_DELAY_MILLIS = 20_000;

    private static final int STATUS_NOT_FOUND = 404;
    private static final int MAX_LOOKUPS = 5;
    private static final long NO_REVISION = -1;

    private final CopyContext context;
    private final RecentManifests manifests;
    private final long endMillis;
    private final Map<Integer, ManifestLookup> lookups = new HashMap<>();
    private long firstRevision = NO_REVISION;
    private boolean reading;
    private boolean done;

    /** The staged pieces, null until all were read; a missing one ends the list. */
    private List<byte[]> pieces;

    private StagedPieces staged;

    /** Returns a check that has not begun. */
    static FormerStartCheck of(CopyContext context, RecentManifests manifests) {
        return new FormerStartCheck(context, manifests);
    }

    private FormerStartCheck(CopyContext context, RecentManifests manifests) {
        this.context = context;
        this.manifests = manifests;
        this.endMillis = context.clock().millis() + MAX_ORDER_DELAY_MILLIS;
    }

    /** Returns true once the finding was returned. */
    boolean isDone() {
        return done;
    }

    /** Returns the time from which the engine can no longer execute an order of a former process. */
    long endMillis() {
        return endMillis;
    }

    /** Returns the pieces that were read back, not null. */
    List<byte[]> pieces() {
        return pieces == null ? List.of() : List.copyOf(pieces);
    }

    /**
     * Returns the finding once there is one, NONE or POSSIBLE; empty while the check goes on.
     *
     * @param report the newest report of the engine, not null
     * @param newestVersion the newest published version, at least 1
     * @param confirmed true if no newer version was published before this process was started
     */
    Optional<FormerStart> finding(EngineReport report, int newestVersion, boolean confirmed) {
        FormerStart finding = find(report, newestVersion, confirmed);
        if (finding.state() == FormerStart.State.UNKNOWN) {
            return Optional.empty();
        }
        done = true;
        lookups.values().forEach(ManifestLookup::stop);
        log(finding);
        return Optional.of(finding);
    }

    private FormerStart find(EngineReport report, int newestVersion, boolean confirmed) {
        firstRevision = firstRevision == NO_REVISION ? report.revision() : firstRevision;
        boolean orderBegunSince = report.revision() != firstRevision;
        boolean nothingNewer = confirmed && report.heldVersion() >= newestVersion;
        boolean tooLate = context.clock().millis() >= endMillis;
        if (orderBegunSince || nothingNewer || tooLate) {
            return FormerStart.none();
        }
        if (staged == null) {
            return FormerStart.unknown();
        }
        return staged.formerStart(digests(), report.heldVersion(), confirmed ? newestVersion : Integer.MAX_VALUE);
    }

    private Map<Integer, List<String>> digests() {
        Map<Integer, List<String>> digests = new HashMap<>();
        manifests
                .all()
                .forEach((version, bytes) -> context.dialect()
                        .manifest(bytes)
                        .ifPresent(manifest -> digests.put(version, manifest.digests())));
        return digests;
    }

    // ---- reading back

    /** Reads the staged pieces back, unless that has been done or is under way. */
    void readStagedPieces(WeightsLayout layout) {
        if (reading || staged != null) {
            return;
        }
        reading = true;
        readFrom(0, layout, new ArrayList<>());
    }

    private void readFrom(int piece, WeightsLayout layout, List<byte[]> read) {
        if (piece == layout.pieces()) {
            finishReading(read, layout);
            return;
        }
        readBack(layout.model(), piece).whenComplete((bytes, failure) -> {
            if (failure == null && bytes.length > layout.pieceBytes()) {
                // kept, they could fill the memory, and no version has such a piece
                logOversized(piece, bytes.length);
                finishReading(read, layout);
            } else if (failure == null) {
                read.add(bytes);
                readFrom(piece + 1, layout, read);
            } else if (isMissing(failure)) {
                finishReading(read, layout);
            } else {
                reading = false;
            }
        });
    }

    private void logOversized(int piece, int size) {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "staged piece is too large")
                .with(DecisionField.PIECE, piece)
                .with(DecisionField.BYTES, size)
                .write();
    }

    private Promise<byte[]> readBack(String model, int piece) {
        return context.queryEngine(context.dialect().readBack(model, piece)).map(PooledHttpClient.Response::body);
    }

    private static boolean isMissing(Exception failure) {
        return failure instanceof HttpStatusException rejection
                && rejection.head().status() == STATUS_NOT_FOUND;
    }

    private void finishReading(List<byte[]> read, WeightsLayout layout) {
        reading = false;
        pieces = read;
        List<String> digests =
                new ArrayList<>(read.stream().map(PieceDigest::of).toList());
        while (digests.size() < layout.pieces()) {
            digests.add("");
        }
        staged = StagedPieces.of(digests);
    }

    // ---- manifests

    /**
     * Looks up the manifests of the versions that an order may name, except the newest, which is being copied, and that
     * of the held version if the origin may lack others.
     *
     * @param boxes the boxes that are asked, not null
     */
    void lookUpManifests(String model, int heldVersion, int newestVersion, List<String> boxes) {
        boolean wholeStaged = pieces != null && !pieces.isEmpty();
        if (!wholeStaged) {
            return;
        }
        boolean originMayLackSome = newestVersion - heldVersion > 2;
        int first = Math.max(1, originMayLackSome ? heldVersion : heldVersion + 1);
        for (int version = Math.max(first, newestVersion - MAX_LOOKUPS); version < newestVersion; version++) {
            lookUp(model, version, boxes);
        }
    }

    private void lookUp(String model, int version, List<String> boxes) {
        if (lookups.containsKey(version) || manifests.manifest(version) != null) {
            return;
        }
        ManifestLookup lookup =
                ManifestLookup.of(context, model, version, boxes, bytes -> manifests.keep(version, bytes));
        lookups.put(version, lookup);
        lookup.start();
    }

    private void log(FormerStart finding) {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "former start checked")
                .with(DecisionField.OUTCOME, finding.state())
                .with(DecisionField.VERSION, finding.version())
                .with(DecisionField.PIECES, pieces().size())
                .with(DecisionField.TOOK_MS, context.clock().millis() - (endMillis - MAX_ORDER_DELAY_MILLIS))
                .write();
    }
}
