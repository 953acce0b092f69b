package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.weights.PieceSource;

/**
 * One version of a model's weights on its way to this box.
 *
 * <p>Neighbours say when they have a piece, and a few pieces at a time are then transferred; pieces that this box
 * fetches from the origin come one after the other, so that the origin's few connections suffice for all. A piece counts
 * only once its digest matches and it lies beside the engine. WeightsCopy is confined to its reactor's thread.
 */
final class WeightsCopy {
    /** The number under which the manifest travels between neighbours. */
    static final int MANIFEST = -1;

    private static final long RETRY_MILLIS = 150;
    private static final long NEIGHBOUR_WAIT_MILLIS = 1_000;
    private static final int PATIENCE = 12;
    private static final int LONG_WAITS = 2;
    private static final int TRANSFERS_BESIDE_REQUESTS = 4;
    private static final int TRANSFERS_ALONE = 8;
    private static final long AVOIDED_MILLIS = 2_000;
    private static final String FROM_NEIGHBOUR = "neighbour";
    private static final String FROM_ORIGIN = "origin";

    private final WeightsSurroundings around;
    private final String model;
    private final int version;
    private final long beganMillis;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<Integer, Set<PieceSource>> failed = new HashMap<>();
    private final Deque<Turn> ready = new ArrayDeque<>();
    private int transfers;
    private final Deque<Integer> fromOrigin = new ArrayDeque<>();
    private byte[] manifestBytes;
    private PieceManifest manifest;
    private byte[][] pieces;
    private int staged;
    private boolean originBusy;
    private boolean abandoned;
    private Runnable whenWhole = () -> {};

    private record Turn(int piece, int waits, PieceSource.Neighbour from) {}

    private record Waiter(int piece, SettablePromise<Boolean> here) {}

    WeightsCopy(WeightsSurroundings around, String model, int version) {
        this.around = around;
        this.model = model;
        this.version = version;
        this.beganMillis = around.clock().millis();
    }

    int version() {
        return version;
    }

    /** Returns true if every piece lies beside the engine. */
    boolean isWhole() {
        return manifest != null && staged == pieces.length;
    }

    /** Returns true if the greater part of the pieces is here. */
    boolean isNearlyWhole() {
        return manifest != null && staged > pieces.length * 2 / 3;
    }

    void whenWhole(Runnable action) {
        whenWhole = action;
    }

    void begin() {
        fetch(MANIFEST, 0);
    }

    void abandon() {
        abandoned = true;
        waiters.forEach(waiter -> waiter.here().trySet(false));
        waiters.clear();
    }

    // ---- handing on

    /** Gives a piece, null if it is not here. */
    byte[] piece(int piece) {
        return held(piece);
    }

    /** Gives true once a piece is here, false when {@code waitMillis} are over. */
    Promise<Boolean> whenHere(int piece, long waitMillis) {
        if (held(piece) != null) {
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

    private byte[] held(int piece) {
        if (piece == MANIFEST) {
            return manifestBytes;
        }
        return pieces != null && piece < pieces.length ? pieces[piece] : null;
    }

    // ---- fetching

    /** Fetches a piece from the source whose turn it is. */
    private void fetch(int piece, int waits) {
        if (abandoned || held(piece) != null) {
            return;
        }
        PieceSource source = around.routing(version).sourceOf(piece, failedFor(piece));
        if (source instanceof PieceSource.Neighbour neighbour) {
            Turn turn = new Turn(piece, waits, neighbour);
            if (isAvoided(neighbour)) {
                tryNext(turn);
            } else if (neighbour.holds()) {
                transferLater(turn);
            } else {
                awaitAtNeighbour(turn);
            }
        } else {
            fromOrigin.add(piece);
            fetchFromOrigin();
        }
    }

    private Set<PieceSource> failedFor(int piece) {
        return failed.computeIfAbsent(piece, key -> new HashSet<>());
    }

    private boolean isAvoided(PieceSource.Neighbour neighbour) {
        return around.clock().millis() < avoidedUntilMillis.getOrDefault(neighbour.box(), 0L);
    }

    private void tryNext(Turn turn) {
        failedFor(turn.piece()).add(turn.from());
        around.reactor().delayBackground(RETRY_MILLIS, () -> fetch(turn.piece(), 0));
    }

    /** Lets the neighbour say when it has the piece; that costs little, so all pieces are waited for at once. */
    private void awaitAtNeighbour(Turn turn) {
        NodeRequest.AwaitPiece asked = new NodeRequest.AwaitPiece(model, version, turn.piece(), NEIGHBOUR_WAIT_MILLIS);
        around.awaitNeighbour(turn.from().box(), asked).whenComplete((there, failure) -> {
            if (failure != null) {
                avoid(turn.from());
                tryNext(turn);
            } else if (there) {
                transferLater(turn);
            } else if (turn.waits() < PATIENCE) {
                logLongWait(turn);
                fetch(turn.piece(), turn.waits() + 1);
            } else {
                tryNext(turn);
            }
        });
    }

    private void logLongWait(Turn turn) {
        if (turn.waits() == LONG_WAITS) {
            around.log()
                    .line(DecisionKind.WEIGHTS)
                    .with(DecisionField.EVENT, "long wait")
                    .with(DecisionField.PIECE, turn.piece())
                    .with(DecisionField.NEIGHBOUR, turn.from().box())
                    .write();
        }
    }

    private void avoid(PieceSource.Neighbour neighbour) {
        avoidedUntilMillis.put(neighbour.box(), around.clock().millis() + AVOIDED_MILLIS);
    }

    private void transferLater(Turn turn) {
        ready.add(turn);
        transferMore();
    }

    /** Transfers a few pieces at a time, so that requests and answers on the same link are not held up for long. */
    private void transferMore() {
        int atOnce = around.engineServes() ? TRANSFERS_BESIDE_REQUESTS : TRANSFERS_ALONE;
        while (!abandoned && transfers < atOnce && !ready.isEmpty()) {
            Turn turn = ready.poll();
            if (held(turn.piece()) == null) {
                transfer(turn);
            }
        }
    }

    private void transfer(Turn turn) {
        transfers++;
        NodeRequest.GetPiece asked = new NodeRequest.GetPiece(model, version, turn.piece());
        around.askNeighbour(turn.from().box(), asked).whenComplete((bytes, failure) -> {
            transfers--;
            if (failure != null) {
                avoid(turn.from());
            }
            if (!took(turn.piece(), failure == null ? bytes : null, FROM_NEIGHBOUR)) {
                tryNext(turn);
            }
            transferMore();
        });
    }

    private void fetchFromOrigin() {
        if (originBusy || abandoned || fromOrigin.isEmpty()) {
            return;
        }
        int piece = fromOrigin.poll();
        if (held(piece) != null) {
            fetchFromOrigin();
            return;
        }
        originBusy = true;
        boolean whole = piece == MANIFEST;
        around.callOrigin(
                        whole
                                ? around.dialect().manifest(model, version)
                                : around.dialect().piece(model, version, piece))
                .map(HttpCalls.Answer::body)
                .whenComplete((bytes, failure) -> {
                    originBusy = false;
                    if (!took(piece, failure == null ? bytes : null, FROM_ORIGIN)) {
                        around.reactor().delayBackground(RETRY_MILLIS, () -> fetch(piece, 0));
                    }
                    fetchFromOrigin();
                });
    }

    /** Takes in a piece; returns false if it is missing or spoilt and must come from elsewhere. */
    private boolean took(int piece, byte[] bytes, String source) {
        if (abandoned || held(piece) != null) {
            return true;
        }
        boolean good = bytes != null && (piece == MANIFEST ? readManifest(bytes) : matches(piece, bytes));
        if (!good) {
            around.metrics().pieceRejected(source);
            return false;
        }
        around.metrics().pieceTaken(source, bytes.length);
        waiters.removeIf(waiter -> waiter.piece() == piece && waiter.here().trySet(true));
        if (piece == MANIFEST) {
            fetchPieces();
        } else {
            pieces[piece] = bytes;
            stage(piece);
        }
        return true;
    }

    private boolean readManifest(byte[] bytes) {
        PieceManifest read = around.dialect().manifest(bytes).orElse(null);
        if (read == null || read.version() != version || read.digests().isEmpty()) {
            return false;
        }
        manifestBytes = bytes;
        manifest = read;
        pieces = new byte[read.digests().size()][];
        return true;
    }

    private void fetchPieces() {
        for (int piece = 0; piece < pieces.length; piece++) {
            fetch(piece, 0);
        }
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
        if (!isWhole() || abandoned) {
            return;
        }
        around.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy whole")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.TOOK_MS, around.clock().millis() - beganMillis)
                .write();
        whenWhole.run();
    }

    private Promise<Void> put(int piece) {
        return around.callEngine(around.dialect().stage(model, piece), pieces[piece])
                .toVoid();
    }

    // ---- checking again and starting

    /** Reads every piece back, lays down again what turned bad, then orders the engine to take the weights up. */
    Promise<HttpCalls.Answer> verifyAndStart() {
        return verify(0)
                .then(() -> around.callEngine(
                        around.dialect().order(), around.dialect().startOrder(model, version)));
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
        return around.callEngine(around.dialect().readBack(model, piece), new byte[0])
                .then(answer -> Promise.of(matches(piece, answer.body())), failure -> Promise.of(false));
    }
}
