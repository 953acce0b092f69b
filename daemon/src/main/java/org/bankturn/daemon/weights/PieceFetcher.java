package org.bankturn.daemon.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.PieceSource;
import org.bankturn.weights.PieceSource.Neighbour;

/**
 * Fetches the pieces of one version from neighbours and from the origin, each from the source whose turn it is.
 *
 * <p>NeighbourTracker that do not hold the version yet say when they have a piece; now and then another box of the hall is
 * asked, so that a slow box holds nobody up for long. A few pieces at a time are then transferred, at most two from one
 * box, and fewer where requests to an engine share the link. Few pieces at a time are asked of the origin, so that its few
 * connections suffice for all boxes.
 *
 * <p>PieceFetcher is confined to its reactor's thread.
 */
final class PieceFetcher {
    /** How the origin is called in metrics. */
    static final String FROM_ORIGIN = "origin";

    private static final long RETRY_MILLIS = 150;
    private static final long NEIGHBOUR_WAIT_MILLIS = 500;

    /** Waits for one neighbour before the next source is tried: 4 s, more than a copy takes with nothing in its way. */
    private static final int PATIENCE = 8;

    /** Every so many waits another box of the hall is asked, which may have the piece by then. */
    private static final int WAITS_PER_ALTERNATE = 4;

    private static final int TRANSFERS_BESIDE_REQUESTS = 5;

    /** Relays send as fast as this box can take, so requests to the engine would wait behind every piece on its way. */
    private static final int TRANSFERS_FROM_RELAYS_BESIDE_REQUESTS = 1;

    private static final int TRANSFERS_ALONE = 10;
    private static final int TRANSFERS_BESIDE_ORIGIN = 5;
    private static final String FROM_NEIGHBOUR = "neighbour";

    /** A version that the origin answers for so often without a good piece keeps no other back: it may be gone there. */
    private static final int MOST_ANSWERS_IN_VAIN = 5;

    private final CopyContext around;
    private final String model;
    private final int version;
    private final PieceSink taker;
    private final FetchScheduler turns;
    private final NeighbourTracker neighbours;
    private final PieceSourceCounts sourceCounts = new PieceSourceCounts();
    private final Map<Integer, Set<PieceSource>> failed = new HashMap<>();
    private final Deque<Turn> ready = new ArrayDeque<>();
    private final Deque<Integer> fromOrigin = new ArrayDeque<>();
    private int originCalls;
    private int originRetries;
    private int fetched;
    private int taken;
    private int answersInVain;
    private PieceRouting published;
    private PieceRouting corrected;
    private int emptyThen;
    private boolean stopped;

    /** A piece that may be transferred from a neighbour. */
    private record Turn(int piece, Neighbour from) {}

    PieceFetcher(CopyContext around, String model, int version, PieceSink taker, FetchScheduler turns) {
        this.around = around;
        this.model = model;
        this.version = version;
        this.taker = taker;
        this.turns = turns;
        this.neighbours = new NeighbourTracker(around.clock());
        turns.add(this);
    }

    /** Fetches a piece until it is here. */
    void fetch(int piece) {
        fetched++;
        fetch(piece, 0);
    }

    // ---- beside other versions

    int version() {
        return version;
    }

    /** Returns the share that is here of what was to be fetched. */
    double fetchedShare() {
        return (double) taken / Math.max(1, fetched);
    }

    /** Returns true if pieces are missing and likely to come, once the origin answers at all. */
    boolean makesProgress() {
        return !stopped && taken < fetched && answersInVain < MOST_ANSWERS_IN_VAIN;
    }

    /** Returns true if pieces are to be fetched from the origin. */
    boolean hasOriginFetches() {
        return waitingForOrigin() + originRetries > 0;
    }

    /** Returns true if pieces are on their way from neighbours, or could be. */
    boolean hasTransfers() {
        return waitingForTransfer() > 0;
    }

    /** Makes use of what another version has left. */
    void resume() {
        fetchFromOrigin();
        transferMore();
    }

    // ---- fetching

    /** Returns true if this box is the one that fetches a piece from the origin. */
    boolean isOriginFetcher(int piece) {
        return routing().sourceOf(piece, Set.of()) instanceof PieceSource.Origin;
    }

    void stop() {
        stopped = true;
        turns.remove(this);
    }

    /** Returns the pieces that wait for the origin. */
    int waitingForOrigin() {
        return fromOrigin.size() + originCalls;
    }

    /** Returns the pieces that neighbours have and that wait for their transfer. */
    int waitingForTransfer() {
        return ready.size() + neighbours.totalTransfers();
    }

    /** Returns where the pieces that are here came from, not null. */
    PieceSourceCounts sourceCounts() {
        return sourceCounts;
    }

    /** Returns the plan as of now, corrected by what was learned here. */
    private PieceRouting routing() {
        PieceRouting newest = around.routing(version);
        boolean changed = published == null
                || !published.equals(newest)
                || emptyThen != neighbours.emptyNeighbours().size();
        if (changed) {
            published = newest;
            emptyThen = neighbours.emptyNeighbours().size();
            corrected = emptyThen == 0 ? newest : newest.withoutHolders(neighbours.emptyNeighbours());
        }
        return corrected;
    }

    private boolean isNeeded(int piece) {
        return !stopped && taker.isMissing(piece);
    }

    private void fetch(int piece, int waits) {
        if (!isNeeded(piece)) {
            return;
        }
        PieceSource source = routing().sourceOf(piece, unfitFor(piece));
        if (source instanceof Neighbour neighbour) {
            fetchFrom(neighbour, piece, waits);
        } else {
            fromOrigin.add(piece);
            fetchFromOrigin();
        }
    }

    private void fetchFrom(Neighbour neighbour, int piece, int waits) {
        if (neighbour.holds()) {
            transferLater(new Turn(piece, neighbour));
        } else {
            await(piece, waits, neighbour);
        }
    }

    private Set<PieceSource> unfitFor(int piece) {
        Set<PieceSource> sources = neighbours.excludedSources();
        sources.addAll(failed.getOrDefault(piece, Set.of()));
        return sources;
    }

    /** Gives a source up for a piece. */
    private void tryNext(int piece, PieceSource source) {
        failed.computeIfAbsent(piece, key -> new HashSet<>()).add(source);
        around.reactor().delayBackground(RETRY_MILLIS, () -> fetch(piece, 0));
    }

    // ---- waiting for neighbours

    /** Lets a neighbour say when it has the piece; that costs little, so all pieces are waited for at once. */
    private void await(int piece, int waits, Neighbour primary) {
        boolean besides = waits % WAITS_PER_ALTERNATE == WAITS_PER_ALTERNATE - 1;
        Neighbour asked =
                besides ? alternate(piece, waits / WAITS_PER_ALTERNATE).orElse(primary) : primary;
        NodeRequest.AwaitPiece question = new NodeRequest.AwaitPiece(model, version, piece, NEIGHBOUR_WAIT_MILLIS);
        around.awaitNeighbour(asked.box(), question).whenComplete((there, failure) -> {
            if (!isNeeded(piece)) {
                return;
            }
            if (failure != null) {
                logFailure(piece, asked.box(), "no word: " + failure.getMessage());
                neighbours.avoid(asked.box());
                fetch(piece, waits + 1);
            } else if (there) {
                transferLater(new Turn(piece, asked));
            } else if (waits >= PATIENCE) {
                tryNext(piece, primary);
            } else {
                fetch(piece, waits + 1);
            }
        });
    }

    private Optional<Neighbour> alternate(int piece, int turn) {
        return routing().alternate(piece, turn).filter(neighbour -> !neighbours.isAvoided(neighbour.box()));
    }

    // ---- transfers

    private void transferLater(Turn turn) {
        ready.add(turn);
        transferMore();
    }

    /** Transfers a few pieces at a time, so that requests and answers on the same link are not held up for long. */
    private void transferMore() {
        for (Turn turn : nextTransfers()) {
            transfer(turn);
        }
    }

    /** Takes the turns that may begin now out of the queue, and those whose neighbour is avoided by now. */
    private List<Turn> nextTransfers() {
        int atOnce = turns.mayTransfer(this) ? transfersAtOnce() : 0;
        List<Turn> next = new ArrayList<>();
        Set<PieceSource> avoided = neighbours.excludedSources();
        Iterator<Turn> turns = ready.iterator();
        while (turns.hasNext() && neighbours.totalTransfers() < atOnce) {
            Turn turn = turns.next();
            Set<PieceSource> unfit = failed.containsKey(turn.piece()) ? unfitFor(turn.piece()) : avoided;
            Neighbour from = turn.from().holds() ? leastLoadedHolder(turn, unfit) : turn.from();
            if (!isNeeded(turn.piece())) {
                turns.remove();
            } else if (unfit.contains(from)) {
                turns.remove();
                around.reactor().post(() -> fetch(turn.piece(), 0));
            } else if (neighbours.hasTransferSlot(from.box())) {
                turns.remove();
                neighbours.transferStarted(from.box());
                next.add(new Turn(turn.piece(), from));
            }
        }
        return next;
    }

    /** What only this box fetches from the origin comes first, since all others wait for it. */
    private int transfersAtOnce() {
        if (waitingForOrigin() > 0) {
            return TRANSFERS_BESIDE_ORIGIN;
        }
        if (!around.engineServes()) {
            return TRANSFERS_ALONE;
        }
        return routing().hasRelays() ? TRANSFERS_FROM_RELAYS_BESIDE_REQUESTS : TRANSFERS_BESIDE_REQUESTS;
    }

    /** Any box of the hall that holds the version may give the piece; those that are fast are asked more often. */
    private Neighbour leastLoadedHolder(Turn turn, Set<PieceSource> unfit) {
        return routing().holdersNearby(turn.piece()).stream()
                .filter(holder -> !unfit.contains(holder))
                .min(Comparator.comparingInt(holder -> neighbours.transfersFrom(holder.box())))
                .orElse(turn.from());
    }

    private void transfer(Turn turn) {
        String box = turn.from().box();
        NodeRequest.GetPiece question = new NodeRequest.GetPiece(model, version, turn.piece());
        around.requestPiece(box, question).whenComplete((bytes, failure) -> {
            neighbours.transferEnded(box);
            turns.resumeOthers(this);
            if (failure != null) {
                logFailure(turn.piece(), box, "no transfer: " + failure.getMessage());
                neighbours.avoid(box);
                fetch(turn.piece(), 0);
            } else if (bytes == null && turn.from().holds()) {
                logFailure(turn.piece(), box, "holds nothing");
                neighbours.markEmpty(box);
                fetch(turn.piece(), 0);
            } else if (isNeeded(turn.piece())) {
                takeFromNeighbour(turn, bytes);
            }
            transferMore();
        });
    }

    private void takeFromNeighbour(Turn turn, byte[] bytes) {
        if (takes(turn.piece(), bytes, FROM_NEIGHBOUR)) {
            sourceCounts.add(turn.from().box());
        } else {
            tryNext(turn.piece(), turn.from());
        }
    }

    private void logFailure(int piece, String from, String reason) {
        around.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "piece failed")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.PIECE, piece)
                .with(DecisionField.FROM, from)
                .with(DecisionField.REASON, reason)
                .write();
    }

    private boolean takes(int piece, byte[] bytes, String source) {
        boolean good = bytes != null && taker.accept(piece, bytes, source);
        if (good) {
            taken++;
            answersInVain = 0;
        } else {
            logFailure(piece, source, bytes == null ? "no piece" : "spoilt");
            around.metrics().pieceRejected(source);
        }
        return good;
    }

    // ---- the origin

    private void fetchFromOrigin() {
        while (!stopped
                && !fromOrigin.isEmpty()
                && originCalls < around.maxOriginCalls()
                && turns.mayFetchFromOrigin(this)) {
            int piece = fromOrigin.poll();
            if (isNeeded(piece)) {
                callOrigin(piece);
            }
        }
    }

    private void takeFromOrigin(int piece, byte[] bytes) {
        if (takes(piece, bytes, FROM_ORIGIN)) {
            sourceCounts.add(FROM_ORIGIN);
        } else {
            originRetries++;
            around.reactor().delayBackground(RETRY_MILLIS, () -> {
                originRetries--;
                fetch(piece, 0);
            });
        }
    }

    private void callOrigin(int piece) {
        originCalls++;
        around.callOrigin(
                        piece == PieceRouting.MANIFEST
                                ? around.dialect().manifest(model, version)
                                : around.dialect().piece(model, version, piece))
                .map(HttpCalls.Answer::body)
                .whenComplete((bytes, failure) -> {
                    originCalls--;
                    answersInVain += failure == null || failure instanceof HttpStatusException ? 1 : 0;
                    if (isNeeded(piece)) {
                        takeFromOrigin(piece, failure == null ? bytes : null);
                    }
                    resume();
                    turns.resumeOthers(this);
                });
    }
}
