package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.NamedWeights;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceHolder;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.PieceSource;

/**
 * Brings the newest named weights to the engine on the same box.
 *
 * <p>Pieces come from neighbours or the origin, are checked against the manifest, laid beside the engine, read back and
 * checked once more, and only then is the engine ordered to take them up. WeightsAgent is confined to its reactor's
 * thread.
 */
public final class WeightsAgent {
    private static final byte[] NOTHING = new byte[0];
    private static final long CHECK_MILLIS = 250;
    private static final long LOCAL_CALL_MILLIS = 1_500;
    private static final long ORIGIN_CALL_MILLIS = 3_000;
    private static final long NEIGHBOUR_WAIT_MILLIS = 1_200;
    private static final long NEIGHBOUR_CALL_MILLIS = 2_500;
    private static final long RETRY_MILLIS = 150;
    private static final int FETCHES_AT_ONCE = 6;
    private static final double START_FROM_SHARE = 0.5;
    private static final double START_SPREAD_SHARE = 0.25;

    private final WeightsSettings settings;
    private final WeightsDialect dialect;
    private final Eventloop reactor;
    private final NodeClients clients;
    private final HttpCalls calls;
    private final Clock clock;
    private final DecisionLog log;
    private Published published = Published.NOTHING;
    private Copy copy;
    private EngineReport lastReport;
    private int namedVersion;
    private long namedMillis;

    /** Returns an agent that does not run yet, not null. */
    public static WeightsAgent of(
            WeightsSettings settings,
            WeightsDialect dialect,
            Eventloop reactor,
            NodeClients clients,
            Clock clock,
            DecisionLog log) {
        return new WeightsAgent(settings, dialect, reactor, clients, clock, log);
    }

    private WeightsAgent(
            WeightsSettings settings,
            WeightsDialect dialect,
            Eventloop reactor,
            NodeClients clients,
            Clock clock,
            DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.reactor = reactor;
        this.clients = clients;
        this.calls = HttpCalls.on(reactor, clock);
        this.clock = clock;
        this.log = log;
    }

    /** Starts to look after the engine. */
    public void start() {
        check();
    }

    /** Takes in what is published now. */
    public void update(Published newer) {
        published = newer;
        layout().flatMap(each -> newer.weightsOf(each.model())).ifPresent(this::noteNamed);
    }

    private void noteNamed(NamedWeights named) {
        if (named.version() > namedVersion) {
            namedVersion = named.version();
            namedMillis = clock.millis();
        }
    }

    private Optional<WeightsLayout> layout() {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().service(settings.service()).map(Service::weights);
    }

    // ---- looking after the engine

    private void check() {
        checkOnce().whenComplete(() -> reactor.delayBackground(CHECK_MILLIS, this::check));
    }

    private Promise<Void> checkOnce() {
        if (layout().isEmpty()) {
            return Promise.complete();
        }
        return callEngine(dialect.report(), NOTHING)
                .then(
                        answer -> {
                            Optional<EngineReport> report = dialect.report(answer.body());
                            report.ifPresent(this::take);
                            return Promise.complete();
                        },
                        failure -> Promise.complete());
    }

    private void take(EngineReport report) {
        lastReport = report;
        int wanted = Math.max(1, namedVersion);
        if (report.heldVersion() >= wanted || report.busy()) {
            return;
        }
        boolean needsCopy = copy == null || (copy.version() < wanted && !copy.isWhole());
        if (needsCopy || (copy.version() < wanted && report.heldVersion() >= copy.version())) {
            beginCopy(wanted);
        } else if (copy.isWhole()) {
            copy.startWhenDue();
        }
    }

    private void beginCopy(int version) {
        if (copy != null) {
            copy.abandon();
        }
        copy = new Copy(layout().orElseThrow().model(), version);
        log.write(DecisionKind.WEIGHTS, "event", "copy begun", "version", version);
        copy.fetchManifest();
    }

    private Promise<HttpCalls.Answer> callEngine(HttpHead head, byte[] body) {
        return calls.call(settings.engineAddress().toSocketAddress(), head, body, LOCAL_CALL_MILLIS)
                .then(answer -> answer.isSuccess()
                        ? Promise.of(answer)
                        : Promise.ofException(new IOException(
                                head.second() + " answered " + answer.head().status())));
    }

    private Promise<HttpCalls.Answer> callOrigin(HttpHead head) {
        Optional<Service> origin = published.configuration().origin();
        if (origin.isEmpty()) {
            return Promise.ofException(new IOException("no origin of weights"));
        }
        return calls.call(
                        Address.parse(origin.get().originAddress()).toSocketAddress(),
                        head,
                        NOTHING,
                        ORIGIN_CALL_MILLIS)
                .then(answer -> answer.isSuccess()
                        ? Promise.of(answer)
                        : Promise.ofException(new IOException(
                                "origin answered " + answer.head().status())));
    }

    // ---- neighbours

    /** Answers a neighbour that asks for a piece. */
    public Promise<NodeReply> givePiece(NodeRequest.GetPiece asked) {
        if (copy != null && copy.version() == asked.version()) {
            return copy.pieceWhenHeld(asked.piece(), asked.waitMillis());
        }
        boolean staged = lastReport != null && lastReport.heldVersion() == asked.version();
        if (!staged) {
            return Promise.of(new NodeReply.Piece(null));
        }
        return callEngine(dialect.readBack(asked.model(), asked.piece()), NOTHING)
                .map(answer -> new NodeReply.Piece(answer.body()));
    }

    private List<PieceHolder> boxes() {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(settings.service()) && !target.draining())
                .map(this::holder)
                .sorted(Comparator.comparing(PieceHolder::box))
                .toList();
    }

    private PieceHolder holder(TargetSighting target) {
        String box = new Address(
                        Address.parse(target.address()).host(),
                        settings.nodeAddress().port())
                .toString();
        return new PieceHolder(box, target.dataHall(), target.heldVersion());
    }

    private PieceHolder self() {
        String own = settings.nodeAddress().toString();
        return boxes().stream()
                .filter(box -> box.box().equals(own))
                .findFirst()
                .orElse(new PieceHolder(own, settings.dataHall(), 0));
    }

    private static boolean matches(byte[] piece, String digest) {
        try {
            byte[] actual = MessageDigest.getInstance("SHA-256").digest(piece);
            return HexFormat.of().formatHex(actual).equalsIgnoreCase(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java", e);
        }
    }

    /** One version on its way to this box. */
    private final class Copy {
        private final String model;
        private final int version;
        private final long beganMillis = clock.millis();
        private final List<Integer> missing = new ArrayList<>();
        private final List<Waiter> waiters = new ArrayList<>();
        private PieceManifest manifest;
        private byte[][] pieces;
        private int held;
        private int underWay;
        private boolean abandoned;
        private boolean starting;

        Copy(String model, int version) {
            this.model = model;
            this.version = version;
        }

        int version() {
            return version;
        }

        boolean isWhole() {
            return manifest != null && held == pieces.length;
        }

        void abandon() {
            abandoned = true;
            waiters.forEach(waiter -> waiter.reply().trySet(new NodeReply.Piece(null)));
            waiters.clear();
        }

        void fetchManifest() {
            if (abandoned) {
                return;
            }
            callOrigin(dialect.manifest(model, version))
                    .map(answer -> dialect.manifest(answer.body()).orElse(null))
                    .whenComplete((received, failure) -> {
                        boolean usable = failure == null && received != null && received.version() == version;
                        if (usable) {
                            begin(received);
                        } else {
                            reactor.delayBackground(RETRY_MILLIS, this::fetchManifest);
                        }
                    });
        }

        private void begin(PieceManifest received) {
            if (abandoned || manifest != null) {
                return;
            }
            manifest = received;
            pieces = new byte[received.digests().size()][];
            List<PieceHolder> boxes = boxes();
            PieceRouting routing = PieceRouting.of(self(), boxes, version);
            for (int piece = 0; piece < pieces.length; piece++) {
                missing.add(piece);
            }
            missing.sort(
                    Comparator.comparing(piece -> routing.sourceOf(piece, 0) instanceof PieceSource.Origin ? 0 : 1));
            fetchMore();
        }

        private void fetchMore() {
            while (!abandoned && underWay < FETCHES_AT_ONCE && !missing.isEmpty()) {
                fetch(missing.remove(0), 0);
            }
        }

        private void fetch(int piece, int attempt) {
            underWay++;
            PieceSource source = PieceRouting.of(self(), boxes(), version).sourceOf(piece, attempt);
            fetchFrom(source, piece).whenComplete((bytes, failure) -> {
                underWay--;
                if (abandoned) {
                    return;
                }
                boolean good = failure == null
                        && bytes != null
                        && matches(bytes, manifest.digests().get(piece));
                if (good) {
                    hold(piece, bytes);
                } else {
                    reactor.delayBackground(RETRY_MILLIS, () -> retry(piece, attempt + 1));
                }
                fetchMore();
            });
        }

        private void retry(int piece, int attempt) {
            if (!abandoned && pieces[piece] == null) {
                fetch(piece, attempt);
            }
        }

        private Promise<byte[]> fetchFrom(PieceSource source, int piece) {
            if (source instanceof PieceSource.Neighbour neighbour) {
                NodeRequest asked = new NodeRequest.GetPiece(model, version, piece, NEIGHBOUR_WAIT_MILLIS);
                return clients.ask(Address.parse(neighbour.box()), asked, NEIGHBOUR_CALL_MILLIS)
                        .map(reply -> reply instanceof NodeReply.Piece given ? given.bytes() : null);
            }
            return callOrigin(dialect.piece(model, version, piece)).map(HttpCalls.Answer::body);
        }

        private void hold(int piece, byte[] bytes) {
            if (pieces[piece] != null) {
                return;
            }
            pieces[piece] = bytes;
            waiters.removeIf(waiter -> waiter.piece() == piece && waiter.reply().trySet(new NodeReply.Piece(bytes)));
            stage(piece).whenComplete((nothing, failure) -> {
                if (abandoned) {
                    return;
                }
                if (failure != null) {
                    reactor.delayBackground(RETRY_MILLIS, () -> stageAgain(piece));
                    return;
                }
                countStaged();
            });
        }

        private void stageAgain(int piece) {
            if (abandoned) {
                return;
            }
            stage(piece).whenComplete((nothing, failure) -> {
                if (failure == null) {
                    countStaged();
                } else {
                    reactor.delayBackground(RETRY_MILLIS, () -> stageAgain(piece));
                }
            });
        }

        private void countStaged() {
            held++;
            if (isWhole()) {
                log.write(
                        DecisionKind.WEIGHTS,
                        "event",
                        "copy whole",
                        "version",
                        version,
                        "took_ms",
                        clock.millis() - beganMillis);
                startWhenDue();
            }
        }

        private Promise<Void> stage(int piece) {
            return callEngine(dialect.stage(model, piece), pieces[piece]).toVoid();
        }

        // ---- starting

        /** Boxes take their turns, so that most engines serve while some change over; an empty engine does not wait. */
        void startWhenDue() {
            if (starting || abandoned) {
                return;
            }
            starting = true;
            long wait = lastReport.heldVersion() == 0 ? 0 : Math.max(0, turnMillis() - clock.millis());
            reactor.delayBackground(wait, this::verifyAndStart);
        }

        private long turnMillis() {
            List<PieceHolder> boxes = boxes();
            int rank = boxes.indexOf(self());
            double share = boxes.isEmpty() ? 0 : Math.max(0, rank) / (double) boxes.size();
            return namedMillis + (long) (settings.deadlineMillis() * (START_FROM_SHARE + START_SPREAD_SHARE * share));
        }

        private void verifyAndStart() {
            verify(0)
                    .then(nothing -> callEngine(dialect.order(), dialect.startOrder(model, version)))
                    .whenComplete((answer, failure) -> {
                        log.write(
                                DecisionKind.WEIGHTS,
                                "event",
                                failure == null ? "start ordered" : "start failed",
                                "version",
                                version,
                                "error",
                                failure == null ? "" : failure.getMessage());
                        reactor.delayBackground(
                                failure == null ? LOCAL_CALL_MILLIS : RETRY_MILLIS, () -> starting = false);
                    });
        }

        /** Reads every piece back and lays it down again where it turned bad. */
        private Promise<Void> verify(int piece) {
            if (piece == pieces.length) {
                return Promise.complete();
            }
            return callEngine(dialect.readBack(model, piece), NOTHING)
                    .map(HttpCalls.Answer::body)
                    .then(
                            bytes -> matches(bytes, manifest.digests().get(piece))
                                    ? Promise.complete()
                                    : stage(piece).then(() -> verifyOnce(piece)),
                            failure -> stage(piece).then(() -> verifyOnce(piece)))
                    .then(() -> verify(piece + 1));
        }

        private Promise<Void> verifyOnce(int piece) {
            return callEngine(dialect.readBack(model, piece), NOTHING)
                    .then(answer -> matches(answer.body(), manifest.digests().get(piece))
                            ? Promise.complete()
                            : Promise.ofException(new IOException("piece " + piece + " does not stay good")));
        }

        // ---- handing on

        Promise<NodeReply> pieceWhenHeld(int piece, long waitMillis) {
            if (pieces != null && piece < pieces.length && pieces[piece] != null) {
                return Promise.of(new NodeReply.Piece(pieces[piece]));
            }
            SettablePromise<NodeReply> reply = new SettablePromise<>();
            waiters.add(new Waiter(piece, reply));
            return Promises.timeout(waitMillis, reply)
                    .then(given -> Promise.of(given), failure -> Promise.of(new NodeReply.Piece(null)));
        }

        private record Waiter(int piece, SettablePromise<NodeReply> reply) {}
    }
}
