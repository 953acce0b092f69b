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
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.weights.PieceSource;

/**
 * One version of a model's weights on its way to this box.
 *
 * <p>A neighbour is asked for a few pieces at a time and gives each as soon as it has it; pieces that this box
 * fetches from the origin come one after the other, so that the origin's few connections suffice for all. A piece counts
 * only once its digest matches and it lies beside the engine. WeightsCopy is confined to its reactor's thread.
 */
final class WeightsCopy {
    /** The number under which the manifest travels between neighbours. */
    static final int MANIFEST = -1;

    private static final long RETRY_MILLIS = 150;
    private static final long NEIGHBOUR_WAIT_MILLIS = 1_000;
    private static final int PATIENCE = 4;
    private static final int REQUESTS_TO_ONE_NEIGHBOUR = 4;
    private static final long AVOIDED_MILLIS = 2_000;

    private final WeightsSurroundings around;
    private final String model;
    private final int version;
    private final long beganMillis;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Deque<Integer> fromOrigin = new ArrayDeque<>();
    private byte[] manifestBytes;
    private PieceManifest manifest;
    private byte[][] pieces;
    private int staged;
    private boolean originBusy;
    private boolean abandoned;
    private Runnable whenWhole = () -> {};

    /** What is under way to one neighbour. */
    private static final class Link {
        private final Deque<Turn> waiting = new ArrayDeque<>();
        private int underWay;
        private long avoidedUntilMillis;
    }

    private record Turn(int piece, int attempt, int waits, PieceSource.Neighbour from) {}

    private record Waiter(int piece, SettablePromise<byte[]> bytes) {}

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
        fetch(MANIFEST, 0, 0);
    }

    void abandon() {
        abandoned = true;
        waiters.forEach(waiter -> waiter.bytes().trySet(null));
        waiters.clear();
    }

    // ---- handing on

    /** Gives a piece once it is here, or null when {@code waitMillis} are over. */
    Promise<byte[]> pieceWhenHere(int piece, long waitMillis) {
        byte[] held = held(piece);
        if (held != null) {
            return Promise.of(held);
        }
        Waiter waiter = new Waiter(piece, new SettablePromise<>());
        waiters.add(waiter);
        around.reactor().delayBackground(waitMillis, () -> {
            if (waiters.remove(waiter)) {
                waiter.bytes().trySet(null);
            }
        });
        return waiter.bytes();
    }

    private byte[] held(int piece) {
        if (piece == MANIFEST) {
            return manifestBytes;
        }
        return pieces != null && piece < pieces.length ? pieces[piece] : null;
    }

    // ---- fetching

    /** Fetches a piece from the source whose turn it is; a neighbour takes a few requests at a time. */
    private void fetch(int piece, int attempt, int waits) {
        if (abandoned || held(piece) != null) {
            return;
        }
        PieceSource source = around.routing(version).sourceOf(piece, attempt);
        if (source instanceof PieceSource.Neighbour neighbour) {
            Link link = links.computeIfAbsent(neighbour.box(), box -> new Link());
            link.waiting.add(new Turn(piece, attempt, waits, neighbour));
            askMore(link);
        } else {
            fromOrigin.add(piece);
            fetchFromOrigin();
        }
    }

    private void askMore(Link link) {
        while (!abandoned && link.underWay < REQUESTS_TO_ONE_NEIGHBOUR && !link.waiting.isEmpty()) {
            Turn turn = link.waiting.poll();
            if (held(turn.piece()) != null) {
                continue;
            }
            if (around.clock().millis() < link.avoidedUntilMillis) {
                fetch(turn.piece(), turn.attempt() + 1, 0);
                continue;
            }
            ask(link, turn);
        }
    }

    private void ask(Link link, Turn turn) {
        link.underWay++;
        long wait = turn.from().holds() ? 0 : NEIGHBOUR_WAIT_MILLIS;
        NodeRequest.GetPiece asked = new NodeRequest.GetPiece(model, version, turn.piece(), wait);
        around.askNeighbour(turn.from().box(), asked).whenComplete((bytes, failure) -> {
            link.underWay--;
            if (failure != null) {
                link.avoidedUntilMillis = around.clock().millis() + AVOIDED_MILLIS;
            }
            boolean comesLater =
                    failure == null && bytes == null && !turn.from().holds();
            if (comesLater && turn.waits() < PATIENCE) {
                fetch(turn.piece(), turn.attempt(), turn.waits() + 1);
            } else {
                took(turn.piece(), bytes, turn.attempt());
            }
            askMore(link);
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
                    took(piece, failure == null ? bytes : null, 0);
                    fetchFromOrigin();
                });
    }

    private void took(int piece, byte[] bytes, int attempt) {
        if (abandoned || held(piece) != null) {
            return;
        }
        boolean good = bytes != null && (piece == MANIFEST ? readManifest(bytes) : matches(piece, bytes));
        if (!good) {
            around.reactor().delayBackground(RETRY_MILLIS, () -> fetch(piece, attempt + 1, 0));
            return;
        }
        waiters.removeIf(waiter -> waiter.piece() == piece && waiter.bytes().trySet(bytes));
        if (piece == MANIFEST) {
            fetchPieces();
        } else {
            pieces[piece] = bytes;
            stage(piece);
        }
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
            fetch(piece, 0, 0);
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
                .write(
                        DecisionKind.WEIGHTS,
                        "event",
                        "copy whole",
                        "version",
                        version,
                        "took_ms",
                        around.clock().millis() - beganMillis);
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
