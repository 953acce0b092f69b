package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.ChangeMethod;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.VersionOrder;

/**
 * One version of a model's weights on its way to this box.
 *
 * <p>A piece counts only once its digest matches and it lies beside the engine. Pieces that this box fetches from the
 * origin are asked for before the manifest is here; they are checked and handed on once it is. WeightsCopy is confined to
 * its reactor's thread.
 */
final class WeightsCopy implements PieceSink {
    /** The number under which the manifest travels between neighbours. */
    static final int MANIFEST = PieceRouting.MANIFEST;

    private static final long RETRY_MILLIS = 150;

    private static final long PROGRESS_MILLIS = 1_000;

    private final CopyContext around;
    private final WeightsLayout layout;
    private final int version;
    private final long beganMillis;
    private final PieceFetcher fetcher;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<Integer> demanded = new HashSet<>();
    private final Map<Integer, byte[]> unchecked = new HashMap<>();
    private byte[] manifestBytes;
    private PieceManifest manifest;
    private byte[][] pieces;
    private int staged;
    private boolean mayStage;
    private boolean abandoned;
    private Runnable onComplete = () -> {};

    private record Waiter(int piece, SettablePromise<Boolean> here) {}

    WeightsCopy(CopyContext around, WeightsLayout layout, int version) {
        this(around, layout, version, new FetchScheduler());
    }

    WeightsCopy(CopyContext around, WeightsLayout layout, int version, FetchScheduler turns) {
        this.around = around;
        this.layout = layout;
        this.version = version;
        this.beganMillis = around.clock().millis();
        this.fetcher = new PieceFetcher(around, layout.model(), version, this, turns);
    }

    int version() {
        return version;
    }

    /** Returns true if every piece lies beside the engine. */
    boolean isComplete() {
        return manifest != null && staged == pieces.length;
    }

    /** Returns true if so much is here that the rest is likely to come, even if the origin fails now. */
    boolean hasSubstantialProgress() {
        return manifest != null && VersionOrder.finishesOlder((double) here() / pieces.length);
    }

    private int here() {
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
            if (fetcher.isOriginFetcher(piece) && around.wants(version, piece)) {
                request(piece);
            }
        }
        logProgressLater();
    }

    /** Lets the pieces be laid beside the engine, where they replace those of any other version. */
    void allowStaging() {
        if (mayStage) {
            return;
        }
        mayStage = true;
        for (int piece = 0; pieces != null && piece < pieces.length; piece++) {
            if (pieces[piece] != null) {
                stage(piece);
            }
        }
    }

    void cancel() {
        abandoned = true;
        fetcher.stop();
        List<Waiter> told = List.copyOf(waiters);
        waiters.clear();
        told.forEach(waiter -> waiter.here().trySet(false));
    }

    private void logProgressLater() {
        around.reactor().delayBackground(PROGRESS_MILLIS, () -> {
            if (!abandoned && !isComplete() && isWaiting()) {
                logProgress();
                logProgressLater();
            }
        });
    }

    private boolean isWaiting() {
        return manifest == null || demanded.stream().anyMatch(piece -> isMissing(piece)) || mayStage;
    }

    private void logProgress() {
        around.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy under way")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.PIECES, here())
                .with(DecisionField.AT_ORIGIN, fetcher.waitingForOrigin())
                .with(DecisionField.AT_NEIGHBOURS, fetcher.waitingForTransfer())
                .with(DecisionField.TOOK_MS, around.clock().millis() - beganMillis)
                .write();
    }

    // ---- handing on

    /** Gives a piece, null if it is not here. */
    byte[] piece(int piece) {
        if (piece == MANIFEST) {
            return manifestBytes;
        }
        return pieces != null && piece < pieces.length ? pieces[piece] : null;
    }

    /** Gives true once a piece is here, false when {@code waitMillis} are over. */
    Promise<Boolean> awaitPiece(int piece, long waitMillis) {
        if (piece(piece) != null) {
            return Promise.of(true);
        }
        Waiter waiter = new Waiter(piece, new SettablePromise<>());
        waiters.add(waiter);
        around.reactor().delayBackground(waitMillis, () -> {
            if (waiters.remove(waiter)) {
                waiter.here().trySet(false);
            }
        });
        return waiter.here();
    }

    // ---- taking in

    @Override
    public boolean isMissing(int piece) {
        boolean exists = manifest == null || piece < pieces.length;
        return !abandoned && exists && piece(piece) == null && !unchecked.containsKey(piece);
    }

    @Override
    public boolean accept(int piece, byte[] bytes, String source) {
        if (piece == MANIFEST) {
            return takeManifest(bytes);
        }
        if (manifest == null) {
            unchecked.put(piece, bytes);
            return true;
        }
        if (!matches(piece, bytes)) {
            return false;
        }
        around.metrics().pieceTaken(source, bytes.length);
        keep(piece, bytes);
        return true;
    }

    private boolean takeManifest(byte[] bytes) {
        PieceManifest read = around.dialect().manifest(bytes).orElse(null);
        if (read == null || read.version() != version || read.digests().isEmpty()) {
            return false;
        }
        manifestBytes = bytes;
        manifest = read;
        pieces = new byte[read.digests().size()][];
        tellWaiters(MANIFEST);
        takeUnchecked();
        for (int piece = 0; piece < pieces.length; piece++) {
            if (around.wants(version, piece)) {
                request(piece);
            }
        }
        return true;
    }

    /** Fetches a piece, unless that was begun before. */
    void request(int piece) {
        boolean exists = piece >= 0 && piece < layout.pieces();
        if (exists && demanded.add(piece)) {
            fetcher.fetch(piece);
        }
    }

    /** Checks the pieces that came before the manifest; what is spoilt is fetched again. */
    private void takeUnchecked() {
        Map<Integer, byte[]> came = Map.copyOf(unchecked);
        unchecked.clear();
        came.forEach((piece, bytes) -> {
            if (isMissing(piece) && !accept(piece, bytes, PieceFetcher.FROM_ORIGIN)) {
                around.metrics().pieceRejected(PieceFetcher.FROM_ORIGIN);
                fetcher.fetch(piece);
            }
        });
    }

    private void keep(int piece, byte[] bytes) {
        pieces[piece] = bytes;
        tellWaiters(piece);
        if (mayStage) {
            stage(piece);
        }
    }

    private void tellWaiters(int piece) {
        List<Waiter> told =
                waiters.stream().filter(waiter -> waiter.piece() == piece).toList();
        waiters.removeAll(told);
        told.forEach(waiter -> waiter.here().trySet(true));
    }

    private boolean matches(int piece, byte[] bytes) {
        try {
            byte[] actual = MessageDigest.getInstance("SHA-256").digest(bytes);
            return HexFormat.of()
                    .formatHex(actual)
                    .equalsIgnoreCase(manifest.digests().get(piece));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java", e);
        }
    }

    // ---- laying beside the engine

    private void stage(int piece) {
        if (abandoned) {
            return;
        }
        put(piece).whenComplete((nothing, failure) -> {
            if (failure == null) {
                countStaged();
            } else {
                around.reactor().delayBackground(RETRY_MILLIS, () -> stage(piece));
            }
        });
    }

    private void countStaged() {
        staged++;
        if (!isComplete() || abandoned) {
            return;
        }
        PieceSourceCounts tally = fetcher.sourceCounts();
        around.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy whole")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.TOOK_MS, around.clock().millis() - beganMillis)
                .with(DecisionField.FROM_ORIGIN, tally.count(PieceFetcher.FROM_ORIGIN))
                .with(DecisionField.SOURCES, tally.sourceCount())
                .with(DecisionField.MOST_FROM, tally.topSource())
                .with(DecisionField.MOST, tally.count(tally.topSource()))
                .write();
        onComplete.run();
    }

    private Promise<Void> put(int piece) {
        return around.callEngine(around.dialect().stage(layout.model(), piece), pieces[piece])
                .toVoid();
    }

    // ---- checking again and starting

    /** Reads every piece back, lays down again what turned bad, then orders the engine to take the weights up. */
    Promise<HttpCalls.Answer> verifyAndStart(ChangeMethod method) {
        return verify(0)
                .then(() -> around.callEngine(
                        around.dialect().order(), around.dialect().startOrder(layout.model(), version, method)));
    }

    private Promise<Void> verify(int piece) {
        if (piece == pieces.length) {
            return Promise.complete();
        }
        return readBackMatches(piece)
                .then(good -> good ? Promise.complete() : put(piece).then(() -> verifyOnce(piece)))
                .then(() -> verify(piece + 1));
    }

    private Promise<Void> verifyOnce(int piece) {
        return readBackMatches(piece)
                .then(good -> good
                        ? Promise.complete()
                        : Promise.ofException(new IOException("piece " + piece + " does not stay good")));
    }

    private Promise<Boolean> readBackMatches(int piece) {
        return around.queryEngine(around.dialect().readBack(layout.model(), piece))
                .then(answer -> Promise.of(matches(piece, answer.body())), failure -> Promise.of(false));
    }
}
