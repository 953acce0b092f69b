package org.bankturn.daemon.target;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.configuration.Box;
import org.bankturn.configuration.Model;
import org.bankturn.configuration.ModelVersion;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.distribution.ChunkFile;
import org.bankturn.distribution.ChunkPlanner;
import org.bankturn.distribution.ChunkPlanner.Transfer;
import org.bankturn.distribution.ChunkPlanner.TransferOutcome;
import org.bankturn.distribution.Manifest;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;

/**
 * Brings one version's weights to this box, chunk by chunk, from peers and with grants from the origin.
 *
 * <p>VersionCopy is confined to its reactor's thread; files are written on the executor.
 */
final class VersionCopy {
    private static final Logger LOG = System.getLogger(VersionCopy.class.getName());
    private static final int TRANSFERS_AT_ONCE = 6;
    private static final int ORIGIN_DRAWS_AT_ONCE = 4;
    private static final int TRANSFERS_PER_NEIGHBOUR = 2;
    private static final int ORIGIN_CORRUPT_LIMIT = 3;
    private static final long HOLDS_WAIT_MILLIS = 1_000;
    private static final long HOLDS_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 100;
    private static final long CHUNK_TIMEOUT_MILLIS = 8_000;
    private static final long MANIFEST_TIMEOUT_MILLIS = 2_000;
    private static final long GRANT_TIMEOUT_MILLIS = 3_000;
    private static final int MANIFEST_ASKED_AT_ONCE = 3;
    private static final long MANIFEST_PATIENCE_MILLIS = 600;

    private final TargetContext context;
    private final ChunkServer server;
    private final Model model;
    private final ModelVersion version;
    private final List<Box> neighbours;
    private final SettablePromise<ChunkFile> whole = new SettablePromise<>();
    private ChunkFile file;
    private ChunkPlanner planner;
    private int transfers;
    private int originDraws;
    private final BitSet originKept = new BitSet();
    private final BitSet originFailed = new BitSet();
    private int originCorrupt;
    private long originAskedMillis;
    private long originPauseMillis = RETRY_MILLIS;
    private boolean askingOrigin;
    private boolean verifying;
    private boolean stopped;

    VersionCopy(TargetContext context, ChunkServer server, Model model, ModelVersion version, List<Box> neighbours) {
        this.context = context;
        this.server = server;
        this.model = model;
        this.version = version;
        this.neighbours = neighbours;
    }

    /** Begins, and completes with the file once every chunk is kept and the whole was read back and verified. */
    Promise<ChunkFile> start() {
        long patientUntil = context.clock().millis() + MANIFEST_PATIENCE_MILLIS;
        findManifest(patientUntil)
                .then(manifest ->
                        Promise.ofBlocking(context.files(), () -> ChunkFile.open(context.chunkFolder(), manifest)))
                .whenComplete((opened, failure) -> {
                    if (failure != null) {
                        fail(failure);
                    } else {
                        begin(opened);
                    }
                });
        return whole;
    }

    /** Stops; transfers under way are let go of. */
    void stop() {
        stopped = true;
        whole.trySetException(new CancellationException("the copy is no longer wanted"));
    }

    // ---- the manifest

    private Promise<Manifest> findManifest(long patientUntil) {
        if (stopped) {
            return Promise.ofException(new CancellationException("stopped"));
        }
        return askNeighboursForManifest().then(found -> {
            if (found.isPresent()) {
                return Promise.of(found.get());
            }
            if (mayAskOrigin(patientUntil)) {
                return askOriginForManifest(patientUntil);
            }
            return Promises.delay(RETRY_MILLIS).then(nothing -> findManifest(patientUntil));
        });
    }

    /** One box in each neighbourhood goes first; the others wait for it a little, then go themselves. */
    private boolean mayAskOrigin(long patientUntil) {
        int rank = (context.box() + version.manifest()).hashCode();
        boolean first =
                neighbours.stream().allMatch(neighbour -> (neighbour.name() + version.manifest()).hashCode() >= rank);
        return first || context.clock().millis() >= patientUntil;
    }

    private Promise<Optional<Manifest>> askNeighboursForManifest() {
        List<Box> some = new ArrayList<>(neighbours);
        Collections.shuffle(some);
        List<Promise<Optional<Manifest>>> asked = some.stream()
                .limit(MANIFEST_ASKED_AT_ONCE)
                .map(neighbour -> context.clients()
                        .ask(
                                nodeAddress(neighbour),
                                new NodeRequest.GetManifest(version.manifest()),
                                MANIFEST_TIMEOUT_MILLIS)
                        .map(this::checkedManifest, failure -> Optional.<Manifest>empty()))
                .toList();
        return Promises.toList(asked)
                .map(answers -> answers.stream().flatMap(Optional::stream).findFirst());
    }

    private Optional<Manifest> checkedManifest(NodeReply reply) {
        return reply instanceof NodeReply.ManifestText manifest && manifest.text() != null
                ? Manifest.parse(manifest.text(), version.manifest())
                : Optional.empty();
    }

    private Promise<Manifest> askOriginForManifest(long patientUntil) {
        return context.origin()
                .fetchManifest(version.origin(), version.manifest())
                .then(
                        manifest -> manifest.isPresent()
                                ? Promise.of(manifest.get())
                                : Promise.ofException(new CopyStoppedException(ResultCode.MANIFEST_CORRUPT)),
                        failure -> Promises.delay(RETRY_MILLIS).then(nothing -> findManifest(patientUntil)));
    }

    // ---- the chunks

    private void begin(ChunkFile opened) {
        if (stopped) {
            return;
        }
        file = opened;
        planner = newPlanner();
        server.serve(file);
        neighbours.forEach(neighbour -> followHolds(neighbour, -1));
        pump();
    }

    private ChunkPlanner newPlanner() {
        return ChunkPlanner.of(
                file.manifest().chunkCount(),
                file.storedChunks(),
                TRANSFERS_PER_NEIGHBOUR,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    private void followHolds(Box neighbour, int knownCount) {
        if (stopped || whole.isComplete()) {
            return;
        }
        NodeRequest request = new NodeRequest.GetHolds(version.manifest(), knownCount, HOLDS_WAIT_MILLIS);
        context.clients()
                .ask(nodeAddress(neighbour), request, HOLDS_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (reply instanceof NodeReply.Holds holds) {
                        planner.updateNeighbour(neighbour.name(), BitSet.valueOf(holds.chunks()));
                        pump();
                        followHolds(neighbour, holds.count());
                    } else {
                        planner.clearNeighbour(neighbour.name());
                        Promises.delay(RETRY_MILLIS).whenResult(() -> followHolds(neighbour, -1));
                    }
                });
    }

    /** Starts whatever may be started now. */
    private void pump() {
        if (stopped || whole.isComplete()) {
            return;
        }
        if (planner.isComplete()) {
            verifyWhole();
            return;
        }
        while (transfers < TRANSFERS_AT_ONCE) {
            Optional<Transfer> next = planner.nextTransfer(context.clock().millis());
            if (next.isEmpty()) {
                break;
            }
            startTransfer(next.get());
        }
        if (originDraws < ORIGIN_DRAWS_AT_ONCE || hasEndsToTell()) {
            askForOriginGrant();
        }
    }

    private void startTransfer(Transfer transfer) {
        transfers++;
        Box neighbour = neighbours.stream()
                .filter(box -> box.name().equals(transfer.neighbour()))
                .findFirst()
                .orElseThrow();
        NodeRequest request = new NodeRequest.GetChunk(version.manifest(), transfer.chunk());
        context.clients()
                .ask(nodeAddress(neighbour), request, CHUNK_TIMEOUT_MILLIS)
                .then(reply -> receivedFromPeer(transfer.chunk(), reply), failure -> Promise.of(TransferOutcome.FAILED))
                .whenComplete((ending, failure) -> {
                    TransferOutcome known = failure == null ? ending : TransferOutcome.FAILED;
                    planner.transferEnded(transfer, known, context.clock().millis());
                    transfers--;
                    pump();
                    if (known == TransferOutcome.BUSY) {
                        Promises.delay(ChunkPlanner.BUSY_MILLIS).whenResult(this::pump);
                    }
                });
    }

    private Promise<TransferOutcome> receivedFromPeer(int chunk, NodeReply reply) {
        if (!(reply instanceof NodeReply.Chunk answer)) {
            return Promise.of(TransferOutcome.FAILED);
        }
        if (answer.bytes() == null) {
            return Promise.of(answer.busy() ? TransferOutcome.BUSY : TransferOutcome.FAILED);
        }
        return keep(chunk, answer.bytes(), "peer");
    }

    /** Waits until the own link would have let the bytes through, checks them and keeps them. */
    private Promise<TransferOutcome> keep(int chunk, byte[] bytes, String source) {
        long delay = context.download().arrivalDelayMillis(bytes.length);
        return Promises.delay(delay)
                .then(nothing -> Promise.ofBlocking(context.files(), () -> file.store(chunk, bytes)))
                .map(kept -> {
                    if (kept) {
                        context.telemetry().chunkKept(source, bytes.length);
                        server.notifyChunkStored();
                        return TransferOutcome.KEPT;
                    }
                    context.telemetry().chunkRejected(source);
                    LOG.log(Level.WARNING, ResultCode.CHUNK_CORRUPT.number() + " chunk " + chunk + " from " + source);
                    return TransferOutcome.CORRUPT;
                })
                .whenException(IOException.class, this::fail);
    }

    // ---- the origin

    private void askForOriginGrant() {
        BitSet unreachable = planner.unreachable();
        long now = context.clock().millis();
        boolean tooSoon = now - originAskedMillis < originPauseMillis;
        if (askingOrigin || (unreachable.isEmpty() && !hasEndsToTell())) {
            return;
        }
        if (tooSoon && !hasEndsToTell()) {
            Promises.delay(originPauseMillis).whenResult(this::pump);
            return;
        }
        askingOrigin = true;
        originAskedMillis = now;
        Command command = new Command.GrantOrigin(
                version.manifest(),
                file.manifest().chunkCount(),
                context.box(),
                originKept.toLongArray(),
                originFailed.toLongArray(),
                unreachable.toLongArray(),
                Math.max(0, ORIGIN_DRAWS_AT_ONCE - originDraws),
                model.policy(),
                Set.of(),
                0);
        BitSet toldKept = (BitSet) originKept.clone();
        BitSet toldFailed = (BitSet) originFailed.clone();
        Promise.<CommandResult>ofFuture(context.control().submit(command, GRANT_TIMEOUT_MILLIS))
                .whenComplete((result, failure) -> {
                    askingOrigin = false;
                    if (result instanceof CommandResult.OriginGranted) {
                        originKept.andNot(toldKept);
                        originFailed.andNot(toldFailed);
                    }
                    boolean granted = result instanceof CommandResult.OriginGranted grant
                            && !grant.chunks().isEmpty();
                    originPauseMillis = granted ? 0 : Math.min(2 * originPauseMillis + RETRY_MILLIS, 10 * RETRY_MILLIS);
                    if (granted) {
                        ((CommandResult.OriginGranted) result).chunks().forEach(this::drawFromOrigin);
                    }
                    pump();
                });
    }

    private boolean hasEndsToTell() {
        return !originKept.isEmpty() || !originFailed.isEmpty();
    }

    private void drawFromOrigin(int chunk) {
        if (stopped) {
            return;
        }
        originDraws++;
        planner.originFetchStarted(chunk);
        context.origin()
                .fetchChunk(version.origin(), file.manifest(), chunk)
                .then(bytes -> keep(chunk, bytes, "origin"), failure -> Promise.of(TransferOutcome.FAILED))
                .whenComplete((ending, failure) -> {
                    originDraws--;
                    TransferOutcome known = failure == null ? ending : TransferOutcome.FAILED;
                    (known == TransferOutcome.KEPT ? originKept : originFailed).set(chunk);
                    planner.originFetchEnded(chunk, known);
                    if (ending == TransferOutcome.CORRUPT && ++originCorrupt >= ORIGIN_CORRUPT_LIMIT) {
                        fail(new CopyStoppedException(ResultCode.ORIGIN_CORRUPT));
                        return;
                    }
                    pump();
                });
    }

    // ---- the end

    private void verifyWhole() {
        if (verifying) {
            return;
        }
        verifying = true;
        Promise.ofBlocking(context.files(), file::verifyAll).whenComplete((isWhole, failure) -> {
            verifying = false;
            if (failure != null) {
                fail(failure);
            } else if (isWhole) {
                whole.trySet(file);
            } else {
                planner = newPlanner();
                pump();
            }
        });
    }

    private void fail(Exception reason) {
        stopped = true;
        whole.trySetException(reason);
    }

    private static Address nodeAddress(Box box) {
        return Address.parse(box.nodeAddress());
    }

    @Override
    public String toString() {
        return "VersionCopy[" + version.model() + " " + version.name() + " " + planner + "]";
    }
}
