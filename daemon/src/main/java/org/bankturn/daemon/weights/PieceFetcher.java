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
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.PieceSource;
import org.bankturn.weights.PieceSource.Neighbour;

/**
 * Fetches the pieces of one version from neighbours and from the origin, each from the source that the routing assigns.
 *
 * <p>Neighbours that do not hold the version yet are long-polled until they have the piece; periodically an alternate box of
 * the hall is polled instead, in case the assigned box is slow. Concurrent transfers are limited in total and per box, and
 * more strictly while requests to an engine share the link. Concurrent calls to the origin are limited because its
 * connections are shared by all boxes.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class PieceFetcher {
    /** The label of the origin in metrics. */
    static final String FROM_ORIGIN = "origin";

    private static final long RETRY_MILLIS = 150;
    private static final long NEIGHBOUR_POLL_MILLIS = 500;

    /** Unsuccessful waits for an assigned neighbour before it counts as failed for the piece. */
    private static final int MAX_WAITS = 8;

    /** Every nth wait polls an alternate box of the hall. */
    private static final int WAITS_PER_ALTERNATE = 4;

    private static final int MAX_TRANSFERS_WITH_REQUESTS = 5;

    /** Relays can saturate the link of this box, so that requests to the engine would queue behind each piece. */
    private static final int MAX_RELAY_TRANSFERS_WITH_REQUESTS = 1;

    private static final int MAX_TRANSFERS_EMPTY_ENGINE = 10;
    private static final int MAX_TRANSFERS_WITH_ORIGIN_CALLS = 5;
    private static final String FROM_NEIGHBOUR = "neighbour";

    /** After this many answers without a valid piece the version may be gone at the origin and yields to others. */
    private static final int MAX_INVALID_ORIGIN_ANSWERS = 5;

    private final CopyContext context;
    private final String model;
    private final int version;
    private final PieceSink sink;
    private final FetchScheduler scheduler;
    private final NeighbourTracker neighbours;
    private final PieceSourceCounts sourceCounts = new PieceSourceCounts();
    private final Map<Integer, Set<PieceSource>> failed = new HashMap<>();
    private final Deque<PendingTransfer> pendingTransfers = new ArrayDeque<>();
    private final Deque<Integer> originQueue = new ArrayDeque<>();
    private int originCalls;
    private int pendingOriginRetries;
    private int requested;
    private int received;
    private int invalidOriginAnswers;
    private PieceRouting publishedRouting;
    private PieceRouting correctedRouting;
    private int knownEmptyNeighbours;
    private boolean stopped;

    /** A piece that a neighbour has and that waits for its transfer. */
    private record PendingTransfer(int piece, Neighbour from) {}

    PieceFetcher(CopyContext context, String model, int version, PieceSink sink, FetchScheduler scheduler) {
        this.context = context;
        this.model = model;
        this.version = version;
        this.sink = sink;
        this.scheduler = scheduler;
        this.neighbours = new NeighbourTracker(context.clock());
        scheduler.add(this);
    }

    /** Fetches a piece, with retries until it was received. */
    void fetch(int piece) {
        requested++;
        fetch(piece, 0);
    }

    // ---- coordination with other versions

    int version() {
        return version;
    }

    /** Returns the share of the requested pieces that was received, 0 to 1. */
    double fetchedShare() {
        return (double) received / Math.max(1, requested);
    }

    /** Returns true if pieces are missing and the origin is not known to lack the version. */
    boolean makesProgress() {
        return !stopped && received < requested && invalidOriginAnswers < MAX_INVALID_ORIGIN_ANSWERS;
    }

    /** Returns true if pieces are queued, in flight or due for a retry at the origin. */
    boolean hasOriginFetches() {
        return waitingForOrigin() + pendingOriginRetries > 0;
    }

    /** Returns true if transfers from neighbours are pending or in flight. */
    boolean hasTransfers() {
        return waitingForTransfer() > 0;
    }

    /** Starts the calls and transfers that the limits allow now. */
    void resume() {
        fetchFromOrigin();
        startTransfers();
    }

    // ---- fetching

    /** Returns true if the routing assigns this box to fetch a piece from the origin. */
    boolean isOriginFetcher(int piece) {
        return routing().sourceOf(piece, Set.of()) instanceof PieceSource.Origin;
    }

    void stop() {
        stopped = true;
        scheduler.remove(this);
    }

    /** Returns the number of pieces queued or in flight at the origin. */
    int waitingForOrigin() {
        return originQueue.size() + originCalls;
    }

    /** Returns the number of pieces whose transfer from a neighbour is pending or in flight. */
    int waitingForTransfer() {
        return pendingTransfers.size() + neighbours.totalTransfers();
    }

    /** Returns the received pieces by source, not null. */
    PieceSourceCounts sourceCounts() {
        return sourceCounts;
    }

    /** Returns the current routing without the holders that proved to be empty. */
    private PieceRouting routing() {
        PieceRouting newest = context.routing(version);
        boolean changed = publishedRouting == null
                || !publishedRouting.equals(newest)
                || knownEmptyNeighbours != neighbours.emptyNeighbours().size();
        if (changed) {
            publishedRouting = newest;
            knownEmptyNeighbours = neighbours.emptyNeighbours().size();
            correctedRouting = knownEmptyNeighbours == 0 ? newest : newest.withoutHolders(neighbours.emptyNeighbours());
        }
        return correctedRouting;
    }

    private boolean isNeeded(int piece) {
        return !stopped && sink.isMissing(piece);
    }

    private void fetch(int piece, int waits) {
        if (!isNeeded(piece)) {
            return;
        }
        PieceSource source = routing().sourceOf(piece, excludedFor(piece));
        if (source instanceof Neighbour neighbour) {
            fetchFrom(neighbour, piece, waits);
        } else {
            originQueue.add(piece);
            fetchFromOrigin();
        }
    }

    private void fetchFrom(Neighbour neighbour, int piece, int waits) {
        if (neighbour.holdsVersion()) {
            enqueueTransfer(new PendingTransfer(piece, neighbour));
        } else {
            await(piece, waits, neighbour);
        }
    }

    private Set<PieceSource> excludedFor(int piece) {
        Set<PieceSource> sources = neighbours.excludedSources();
        sources.addAll(failed.getOrDefault(piece, Set.of()));
        return sources;
    }

    /** Excludes a source for a piece and schedules a retry. */
    private void tryNext(int piece, PieceSource source) {
        failed.computeIfAbsent(piece, key -> new HashSet<>()).add(source);
        context.reactor().delayBackground(RETRY_MILLIS, () -> fetch(piece, 0));
    }

    // ---- waiting for neighbours

    /** Long-polls a neighbour for a piece. Polls are cheap, so their number is not limited. */
    private void await(int piece, int waits, Neighbour primary) {
        boolean pollAlternate = waits % WAITS_PER_ALTERNATE == WAITS_PER_ALTERNATE - 1;
        Neighbour polled =
                pollAlternate ? alternate(piece, waits / WAITS_PER_ALTERNATE).orElse(primary) : primary;
        NodeRequest.AwaitPiece request = new NodeRequest.AwaitPiece(model, version, piece, NEIGHBOUR_POLL_MILLIS);
        context.awaitNeighbour(polled.box(), request).whenComplete((available, failure) -> {
            if (!isNeeded(piece)) {
                return;
            }
            if (failure != null) {
                logFailure(piece, polled.box(), "wait failed: " + failure.getMessage());
                neighbours.avoid(polled.box());
                fetch(piece, waits + 1);
            } else if (available) {
                enqueueTransfer(new PendingTransfer(piece, polled));
            } else if (waits >= MAX_WAITS) {
                tryNext(piece, primary);
            } else {
                fetch(piece, waits + 1);
            }
        });
    }

    private Optional<Neighbour> alternate(int piece, int attempt) {
        return routing().alternateNeighbour(piece, attempt).filter(neighbour -> !neighbours.isAvoided(neighbour.box()));
    }

    // ---- transfers

    private void enqueueTransfer(PendingTransfer transfer) {
        pendingTransfers.add(transfer);
        startTransfers();
    }

    /** Starts transfers up to the limit, which bounds the delay of requests and answers on the same link. */
    private void startTransfers() {
        for (PendingTransfer transfer : nextTransfers()) {
            startTransfer(transfer);
        }
    }

    /** Dequeues the transfers that may start now, and reroutes those whose neighbour is excluded by now. */
    private List<PendingTransfer> nextTransfers() {
        int limit = scheduler.mayTransfer(this) ? transferLimit() : 0;
        List<PendingTransfer> next = new ArrayList<>();
        Set<PieceSource> avoided = neighbours.excludedSources();
        Iterator<PendingTransfer> iterator = pendingTransfers.iterator();
        while (iterator.hasNext() && neighbours.totalTransfers() < limit) {
            PendingTransfer transfer = iterator.next();
            Set<PieceSource> excluded = failed.containsKey(transfer.piece()) ? excludedFor(transfer.piece()) : avoided;
            Neighbour from = transfer.from().holdsVersion() ? leastLoadedHolder(transfer, excluded) : transfer.from();
            if (!isNeeded(transfer.piece())) {
                iterator.remove();
            } else if (excluded.contains(from)) {
                iterator.remove();
                context.reactor().post(() -> fetch(transfer.piece(), 0));
            } else if (neighbours.hasTransferSlot(from.box())) {
                iterator.remove();
                neighbours.transferStarted(from.box());
                next.add(new PendingTransfer(transfer.piece(), from));
            }
        }
        return next;
    }

    /** Returns the limit of concurrent transfers, lower during calls to the origin, which other boxes depend on. */
    private int transferLimit() {
        if (waitingForOrigin() > 0) {
            return MAX_TRANSFERS_WITH_ORIGIN_CALLS;
        }
        if (!context.engineServes()) {
            return MAX_TRANSFERS_EMPTY_ENGINE;
        }
        return routing().hasRelays() ? MAX_RELAY_TRANSFERS_WITH_REQUESTS : MAX_TRANSFERS_WITH_REQUESTS;
    }

    /** Returns the holder in the hall with the fewest transfers in flight, which favours fast boxes. */
    private Neighbour leastLoadedHolder(PendingTransfer transfer, Set<PieceSource> excluded) {
        return routing().holdersNearby(transfer.piece()).stream()
                .filter(holder -> !excluded.contains(holder))
                .min(Comparator.comparingInt(holder -> neighbours.transfersFrom(holder.box())))
                .orElse(transfer.from());
    }

    private void startTransfer(PendingTransfer transfer) {
        String box = transfer.from().box();
        NodeRequest.GetPiece request = new NodeRequest.GetPiece(model, version, transfer.piece());
        context.requestPiece(box, request).whenComplete((bytes, failure) -> {
            neighbours.transferEnded(box);
            scheduler.resumeOthers(this);
            if (failure != null) {
                logFailure(transfer.piece(), box, "transfer failed: " + failure.getMessage());
                neighbours.avoid(box);
                fetch(transfer.piece(), 0);
            } else if (bytes == null && transfer.from().holdsVersion()) {
                logFailure(transfer.piece(), box, "not held");
                neighbours.markEmpty(box);
                fetch(transfer.piece(), 0);
            } else if (isNeeded(transfer.piece())) {
                acceptFromNeighbour(transfer, bytes);
            }
            startTransfers();
        });
    }

    private void acceptFromNeighbour(PendingTransfer transfer, byte[] bytes) {
        if (accepts(transfer.piece(), bytes, FROM_NEIGHBOUR)) {
            sourceCounts.add(transfer.from().box());
        } else {
            tryNext(transfer.piece(), transfer.from());
        }
    }

    private void logFailure(int piece, String from, String reason) {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "piece failed")
                .with(DecisionField.VERSION, version)
                .with(DecisionField.PIECE, piece)
                .with(DecisionField.FROM, from)
                .with(DecisionField.REASON, reason)
                .write();
    }

    private boolean accepts(int piece, byte[] bytes, String source) {
        boolean valid = bytes != null && sink.accept(piece, bytes, source);
        if (valid) {
            received++;
            invalidOriginAnswers = 0;
        } else {
            logFailure(piece, source, bytes == null ? "no data" : "spoilt");
            context.metrics().pieceRejected(source);
        }
        return valid;
    }

    // ---- the origin

    private void fetchFromOrigin() {
        while (!stopped
                && !originQueue.isEmpty()
                && originCalls < context.maxOriginCalls()
                && scheduler.mayFetchFromOrigin(this)) {
            int piece = originQueue.poll();
            if (isNeeded(piece)) {
                callOrigin(piece);
            }
        }
    }

    private void acceptFromOrigin(int piece, byte[] bytes) {
        if (accepts(piece, bytes, FROM_ORIGIN)) {
            sourceCounts.add(FROM_ORIGIN);
        } else {
            pendingOriginRetries++;
            context.reactor().delayBackground(RETRY_MILLIS, () -> {
                pendingOriginRetries--;
                fetch(piece, 0);
            });
        }
    }

    private void callOrigin(int piece) {
        originCalls++;
        context.callOrigin(
                        piece == PieceRouting.MANIFEST
                                ? context.dialect().manifest(model, version)
                                : context.dialect().piece(model, version, piece))
                .map(PooledHttpClient.Response::body)
                .whenComplete((bytes, failure) -> {
                    originCalls--;
                    invalidOriginAnswers += failure == null || failure instanceof HttpStatusException ? 1 : 0;
                    if (isNeeded(piece)) {
                        acceptFromOrigin(piece, failure == null ? bytes : null);
                    }
                    resume();
                    scheduler.resumeOthers(this);
                });
    }
}
