package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.VersionPriority;

/**
 * Copies one version of a model's weights to this box and stages it at the engine.
 *
 * <p>The copy is complete once every piece was verified against its digest and staged. Pieces from the origin are requested
 * before the manifest has arrived; they are verified and served to neighbours once it has.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class WeightsCopy implements PieceSink {
    /** The piece number of the manifest in requests between neighbours. */
    static final int MANIFEST = PieceRouting.MANIFEST;

    private static final long RETRY_MILLIS = 150;
    private static final long PROGRESS_LOG_MILLIS = 1_000;

    private final CopyContext context;
    private final WeightsLayout layout;
    private final int version;
    private final long startMillis;
    private final PieceFetcher fetcher;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<Integer> requested = new HashSet<>();
    private final Map<Integer, byte[]> unverified = new HashMap<>();
    private byte[] manifestBytes;
    private PieceManifest manifest;
    private byte[][] pieces;
    private int staged;
    private boolean stagingAllowed;
    private boolean cancelled;
    private Runnable onComplete = () -> {};

    private record Waiter(int piece, SettablePromise<Boolean> available) {}

    WeightsCopy(CopyContext context, WeightsLayout layout, int version) {
        this(context, layout, version, new FetchScheduler());
    }

    WeightsCopy(CopyContext context, WeightsLayout layout, int version, FetchScheduler scheduler) {
        this.context = context;
        this.layout = layout;
        this.version = version;
        this.startMillis = context.clock().millis();
        this.fetcher = new PieceFetcher(context, layout.model(), version, this, scheduler);
    }

    int version() {
        return version;
    }

    /** Returns the name of the model, not null. */
    String model() {
        return layout.model();
    }

    /** Returns true if every piece was verified and staged. */
    boolean isComplete() {
        return manifest != null && staged == pieces.length;
    }

    /** Returns true if enough pieces are available that a newer version should wait for this one. */
    boolean hasSubstantialProgress() {
        return manifest != null && VersionPriority.shouldFinishOlder((double) availablePieces() / pieces.length);
    }

    private int availablePieces() {
        return pieces == null
                ? 0
                : (int) Arrays.stream(pieces).filter(Objects::nonNull).count();
    }

    void onComplete(Runnable action) {
        onComplete = action;
    }

    void start() {
        fetcher.fetch(MANIFEST);
        for (int piece = 0; piece < layout.pieces(); piece++) {
            if (fetcher.isOriginFetcher(piece) && context.shouldFetch(version, piece)) {
                request(piece);
            }
        }
        logProgressLater();
    }

    /**
     * Starts the copy from pieces that lie staged already; those that do not match the manifest are fetched.
     *
     * @param staged the pieces of this version's layout, as they were read back, not null
     */
    void startFrom(byte[] manifestBytes, PieceManifest manifest, List<byte[]> staged) {
        this.manifestBytes = manifestBytes;
        this.manifest = manifest;
        this.pieces = new byte[manifest.digests().size()][];
        for (int piece = 0; piece < pieces.length; piece++) {
            if (piece < staged.size() && matches(piece, staged.get(piece))) {
                pieces[piece] = staged.get(piece);
            } else {
                request(piece);
            }
        }
        logProgressLater();
    }

    /** Allows pieces to be staged, which overwrites the staged pieces of any other version. */
    void allowStaging() {
        if (stagingAllowed) {
            return;
        }
        stagingAllowed = true;
        for (int piece = 0; pieces != null && piece < pieces.length; piece++) {
            if (pieces[piece] != null) {
                stageWithRetry(piece);
            }
        }
    }

    void cancel() {
        cancelled = true;
        fetcher.stop();
        List<Waiter> notified = List.copyOf(waiters);
        waiters.clear();
        notified.forEach(waiter -> waiter.available().trySet(false));
    }

    private void logProgressLater() {
        context.reactor().delayBackground(PROGRESS_LOG_MILLIS, () -> {
            if (!cancelled && !isComplete() && isWaiting()) {
                logProgress();
                logProgressLater();
            }
        });
    }

    private boolean isWaiting() {
        return manifest == null || requested.stream().anyMatch(piece -> isMissing(piece)) || stagingAllowed;
    }

    private void logProgress() {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy under way")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.PIECES, availablePieces())
                .with(DecisionField.AT_ORIGIN, fetcher.waitingForOrigin())
                .with(DecisionField.AT_NEIGHBOURS, fetcher.waitingForTransfer())
                .with(DecisionField.TOOK_MS, context.clock().millis() - startMillis)
                .write();
    }

    // ---- serving neighbours

    /** Returns a piece, null if it is not available. */
    byte[] piece(int piece) {
        if (piece == MANIFEST) {
            return manifestBytes;
        }
        return pieces != null && piece < pieces.length ? pieces[piece] : null;
    }

    /** Completes with true once a piece is available, with false after {@code waitMillis}. */
    Promise<Boolean> awaitPiece(int piece, long waitMillis) {
        if (piece(piece) != null) {
            return Promise.of(true);
        }
        Waiter waiter = new Waiter(piece, new SettablePromise<>());
        waiters.add(waiter);
        context.reactor().delayBackground(waitMillis, () -> {
            if (waiters.remove(waiter)) {
                waiter.available().trySet(false);
            }
        });
        return waiter.available();
    }

    // ---- receiving

    @Override
    public boolean isMissing(int piece) {
        boolean exists = manifest == null || piece < pieces.length;
        return !cancelled && exists && piece(piece) == null && !unverified.containsKey(piece);
    }

    @Override
    public boolean accept(int piece, byte[] bytes, String source) {
        if (piece == MANIFEST) {
            return acceptManifest(bytes);
        }
        if (manifest == null) {
            unverified.put(piece, bytes);
            return true;
        }
        if (!matches(piece, bytes)) {
            return false;
        }
        context.metrics().pieceReceived(source, bytes.length);
        store(piece, bytes);
        return true;
    }

    private boolean acceptManifest(byte[] bytes) {
        PieceManifest parsed = context.dialect().manifest(bytes).orElse(null);
        if (parsed == null || parsed.version() != version || parsed.digests().isEmpty()) {
            return false;
        }
        manifestBytes = bytes;
        manifest = parsed;
        pieces = new byte[parsed.digests().size()][];
        notifyWaiters(MANIFEST);
        verifyEarlyPieces();
        for (int piece = 0; piece < pieces.length; piece++) {
            if (context.shouldFetch(version, piece)) {
                request(piece);
            }
        }
        return true;
    }

    /** Fetches a piece unless it was requested before. */
    void request(int piece) {
        boolean exists = piece >= 0 && piece < layout.pieces();
        if (exists && requested.add(piece)) {
            fetcher.fetch(piece);
        }
    }

    /** Verifies the pieces that arrived before the manifest; corrupt ones are fetched again. */
    private void verifyEarlyPieces() {
        Map<Integer, byte[]> early = Map.copyOf(unverified);
        unverified.clear();
        early.forEach((piece, bytes) -> {
            if (isMissing(piece) && !accept(piece, bytes, PieceFetcher.FROM_ORIGIN)) {
                context.metrics().pieceRejected(PieceFetcher.FROM_ORIGIN);
                fetcher.fetch(piece);
            }
        });
    }

    private void store(int piece, byte[] bytes) {
        pieces[piece] = bytes;
        notifyWaiters(piece);
        if (stagingAllowed) {
            stageWithRetry(piece);
        }
    }

    private void notifyWaiters(int piece) {
        List<Waiter> notified =
                waiters.stream().filter(waiter -> waiter.piece() == piece).toList();
        waiters.removeAll(notified);
        notified.forEach(waiter -> waiter.available().trySet(true));
    }

    private boolean matches(int piece, byte[] bytes) {
        return PieceDigest.of(bytes).equalsIgnoreCase(manifest.digests().get(piece));
    }

    // ---- staging

    private void stageWithRetry(int piece) {
        if (cancelled) {
            return;
        }
        stagePiece(piece).whenComplete((ignored, failure) -> {
            if (failure == null) {
                countStaged();
            } else {
                context.reactor().delayBackground(RETRY_MILLIS, () -> stageWithRetry(piece));
            }
        });
    }

    private void countStaged() {
        staged++;
        if (!isComplete() || cancelled) {
            return;
        }
        PieceSourceCounts counts = fetcher.sourceCounts();
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy whole")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.TOOK_MS, context.clock().millis() - startMillis)
                .with(DecisionField.FROM_ORIGIN, counts.count(PieceFetcher.FROM_ORIGIN))
                .with(DecisionField.SOURCES, counts.sourceCount())
                .with(DecisionField.MOST_FROM, counts.topSource())
                .with(DecisionField.MOST, counts.count(counts.topSource()))
                .write();
        onComplete.run();
    }

    private Promise<Void> stagePiece(int piece) {
        return context.callEngine(context.dialect().stage(layout.model(), piece), pieces[piece])
                .toVoid();
    }

    // ---- verification

    /**
     * Reads every staged piece back and restages corrupt ones; returns how many were restaged. Fails once the copy is
     * cancelled, since the staged pieces are those of another version from then on.
     */
    Promise<Integer> verify() {
        return verifyFrom(0, 0);
    }

    private Promise<Integer> verifyFrom(int piece, int restaged) {
        if (cancelled) {
            return Promise.ofException(new IOException("the copy of version " + version + " was replaced"));
        }
        if (piece == pieces.length) {
            return Promise.of(restaged);
        }
        return readBackMatches(piece).then(valid -> valid ? verifyFrom(piece + 1, restaged) : restage(piece, restaged));
    }

    private Promise<Integer> restage(int piece, int restaged) {
        if (cancelled) {
            return verifyFrom(piece, restaged);
        }
        return stagePiece(piece).then(() -> requireMatch(piece)).then(() -> verifyFrom(piece + 1, restaged + 1));
    }

    private Promise<Void> requireMatch(int piece) {
        return readBackMatches(piece)
                .then(valid -> valid
                        ? Promise.complete()
                        : Promise.ofException(new IOException("piece " + piece + " is still corrupt after restaging")));
    }

    private Promise<Boolean> readBackMatches(int piece) {
        return context.queryEngine(context.dialect().readBack(layout.model(), piece))
                .then(answer -> Promise.of(matches(piece, answer.body())), failure -> Promise.of(false));
    }
}
