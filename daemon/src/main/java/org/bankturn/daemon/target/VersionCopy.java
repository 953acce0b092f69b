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
 * Copies the weights of one version to this box. Chunks come from peers, or from the origin under a grant of the control
 * group.
 *
 * <p>VersionCopy is confined to its reactor's thread; files are written on the file executor.
 */
final class VersionCopy {
    private static final Logger LOG = System.getLogger(VersionCopy.class.getName());
    private static final int MAX_CONCURRENT_TRANSFERS = 6;
    private static final int MAX_CONCURRENT_ORIGIN_FETCHES = 4;
    private static final int TRANSFERS_PER_NEIGHBOUR = 2;
    private static final int MAX_CORRUPT_ORIGIN_CHUNKS = 3;
    private static final long HOLDS_WAIT_MILLIS = 1_000;
    private static final long HOLDS_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 100;
    private static final long CHUNK_TIMEOUT_MILLIS = 8_000;
    private static final long MANIFEST_TIMEOUT_MILLIS = 2_000;
    private static final long GRANT_TIMEOUT_MILLIS = 3_000;
    private static final int MANIFEST_NEIGHBOURS = 3;
    /** The delay after which a box that is not first in its neighbourhood asks the origin for the manifest. */
    private static final long ORIGIN_MANIFEST_DELAY_MILLIS = 600;

    private final TargetContext context;
    private final ChunkServer server;
    private final Model model;
    private final ModelVersion version;
    private final List<Box> neighbours;
    private final SettablePromise<ChunkFile> completion = new SettablePromise<>();
    private ChunkFile file;
    private ChunkPlanner planner;
    private int transfers;
    private int originFetches;
    private final BitSet originKept = new BitSet();
    private final BitSet originFailed = new BitSet();
    private int originCorrupt;
    private long grantRequestedMillis;
    private long grantIntervalMillis = RETRY_MILLIS;
    private boolean grantRequested;
    private boolean verifying;
    private boolean stopped;

    VersionCopy(TargetContext context, ChunkServer server, Model model, ModelVersion version, List<Box> neighbours) {
        this.context = context;
        this.server = server;
        this.model = model;
        this.version = version;
        this.neighbours = neighbours;
    }

    /** Starts the copy; completes with the file once every chunk is stored and the complete file has been verified. */
    Promise<ChunkFile> start() {
        long originAllowedMillis = context.clock().millis() + ORIGIN_MANIFEST_DELAY_MILLIS;
        findManifest(originAllowedMillis)
                .then(manifest ->
                        Promise.ofBlocking(context.files(), () -> ChunkFile.open(context.chunkFolder(), manifest)))
                .whenComplete((opened, failure) -> {
                    if (failure != null) {
                        fail(failure);
                    } else {
                        startChunks(opened);
                    }
                });
        return completion;
    }

    /** Cancels the copy; the results of transfers in progress are ignored. */
    void stop() {
        stopped = true;
        completion.trySetException(new CancellationException("version is no longer wanted"));
    }

    private Promise<Manifest> findManifest(long originAllowedMillis) {
        if (stopped) {
            return Promise.ofException(new CancellationException("version is no longer wanted"));
        }
        return askNeighboursForManifest().then(found -> {
            if (found.isPresent()) {
                return Promise.of(found.get());
            }
            if (mayAskOrigin(originAllowedMillis)) {
                return askOriginForManifest(originAllowedMillis);
            }
            return Promises.delay(RETRY_MILLIS).then(nothing -> findManifest(originAllowedMillis));
        });
    }

    /** Returns true for the lowest-ranked box of the neighbourhood, and for the others after a delay. */
    private boolean mayAskOrigin(long originAllowedMillis) {
        int rank = (context.box() + version.manifest()).hashCode();
        boolean lowest =
                neighbours.stream().allMatch(neighbour -> (neighbour.name() + version.manifest()).hashCode() >= rank);
        return lowest || context.clock().millis() >= originAllowedMillis;
    }

    private Promise<Optional<Manifest>> askNeighboursForManifest() {
        List<Box> shuffled = new ArrayList<>(neighbours);
        Collections.shuffle(shuffled);
        List<Promise<Optional<Manifest>>> asked = shuffled.stream()
                .limit(MANIFEST_NEIGHBOURS)
                .map(neighbour -> context.clients()
                        .ask(
                                nodeAddress(neighbour),
                                new NodeRequest.GetManifest(version.manifest()),
                                MANIFEST_TIMEOUT_MILLIS)
                        .map(this::parseManifest, failure -> Optional.<Manifest>empty()))
                .toList();
        return Promises.toList(asked)
                .map(answers -> answers.stream().flatMap(Optional::stream).findFirst());
    }

    private Optional<Manifest> parseManifest(NodeReply reply) {
        return reply instanceof NodeReply.ManifestText manifest && manifest.text() != null
                ? Manifest.parse(manifest.text(), version.manifest())
                : Optional.empty();
    }

    private Promise<Manifest> askOriginForManifest(long originAllowedMillis) {
        return context.origin()
                .fetchManifest(version.origin(), version.manifest())
                .then(
                        manifest -> manifest.isPresent()
                                ? Promise.of(manifest.get())
                                : Promise.ofException(new CopyStoppedException(ResultCode.MANIFEST_CORRUPT)),
                        failure -> Promises.delay(RETRY_MILLIS).then(nothing -> findManifest(originAllowedMillis)));
    }

    private void startChunks(ChunkFile opened) {
        if (stopped) {
            return;
        }
        file = opened;
        planner = newPlanner();
        server.serve(file);
        neighbours.forEach(neighbour -> pollHolds(neighbour, -1));
        startTransfers();
    }

    private ChunkPlanner newPlanner() {
        return ChunkPlanner.of(
                file.manifest().chunkCount(),
                file.storedChunks(),
                TRANSFERS_PER_NEIGHBOUR,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    private void pollHolds(Box neighbour, int knownCount) {
        if (stopped || completion.isComplete()) {
            return;
        }
        NodeRequest request = new NodeRequest.GetHeldChunks(version.manifest(), knownCount, HOLDS_WAIT_MILLIS);
        context.clients()
                .ask(nodeAddress(neighbour), request, HOLDS_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (reply instanceof NodeReply.HeldChunks holds) {
                        planner.updateNeighbour(neighbour.name(), BitSet.valueOf(holds.chunks()));
                        startTransfers();
                        pollHolds(neighbour, holds.count());
                    } else {
                        planner.clearNeighbour(neighbour.name());
                        Promises.delay(RETRY_MILLIS).whenResult(() -> pollHolds(neighbour, -1));
                    }
                });
    }

    /** Starts all transfers that the limits allow, and verifies the file once every chunk is stored. */
    private void startTransfers() {
        if (stopped || completion.isComplete()) {
            return;
        }
        if (planner.isComplete()) {
            verifyFile();
            return;
        }
        while (transfers < MAX_CONCURRENT_TRANSFERS) {
            Optional<Transfer> next = planner.nextTransfer(context.clock().millis());
            if (next.isEmpty()) {
                break;
            }
            startTransfer(next.get());
        }
        if (originFetches < MAX_CONCURRENT_ORIGIN_FETCHES || hasUnreportedResults()) {
            requestOriginGrant();
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
                .then(reply -> storePeerReply(transfer.chunk(), reply), failure -> Promise.of(TransferOutcome.FAILED))
                .whenComplete((result, failure) -> {
                    TransferOutcome outcome = failure == null ? result : TransferOutcome.FAILED;
                    planner.transferEnded(transfer, outcome, context.clock().millis());
                    transfers--;
                    startTransfers();
                    if (outcome == TransferOutcome.BUSY) {
                        Promises.delay(ChunkPlanner.BUSY_MILLIS).whenResult(this::startTransfers);
                    }
                });
    }

    private Promise<TransferOutcome> storePeerReply(int chunk, NodeReply reply) {
        if (!(reply instanceof NodeReply.Chunk answer)) {
            return Promise.of(TransferOutcome.FAILED);
        }
        if (answer.bytes() == null) {
            return Promise.of(answer.busy() ? TransferOutcome.BUSY : TransferOutcome.FAILED);
        }
        return store(chunk, answer.bytes(), "peer");
    }

    /** Applies the download rate limit, then verifies and stores the bytes. */
    private Promise<TransferOutcome> store(int chunk, byte[] bytes, String source) {
        long delay = context.download().arrivalDelayMillis(bytes.length);
        return Promises.delay(delay)
                .then(nothing -> Promise.ofBlocking(context.files(), () -> file.store(chunk, bytes)))
                .map(stored -> {
                    if (stored) {
                        context.telemetry().chunkVerified(source, bytes.length);
                        server.notifyChunkStored();
                        return TransferOutcome.KEPT;
                    }
                    context.telemetry().chunkRejected(source);
                    LOG.log(
                            Level.WARNING,
                            ResultCode.CHUNK_CORRUPT.number() + " corrupt chunk " + chunk + " from " + source);
                    return TransferOutcome.CORRUPT;
                })
                .whenException(IOException.class, this::fail);
    }

    private void requestOriginGrant() {
        BitSet unreachable = planner.unreachable();
        long now = context.clock().millis();
        boolean tooSoon = now - grantRequestedMillis < grantIntervalMillis;
        if (grantRequested || (unreachable.isEmpty() && !hasUnreportedResults())) {
            return;
        }
        if (tooSoon && !hasUnreportedResults()) {
            Promises.delay(grantIntervalMillis).whenResult(this::startTransfers);
            return;
        }
        grantRequested = true;
        grantRequestedMillis = now;
        Command command = new Command.GrantOrigin(
                version.manifest(),
                file.manifest().chunkCount(),
                context.box(),
                originKept.toLongArray(),
                originFailed.toLongArray(),
                unreachable.toLongArray(),
                Math.max(0, MAX_CONCURRENT_ORIGIN_FETCHES - originFetches),
                model.policy(),
                Set.of(),
                0);
        BitSet reportedKept = (BitSet) originKept.clone();
        BitSet reportedFailed = (BitSet) originFailed.clone();
        Promise.<CommandResult>ofFuture(context.control().submit(command, GRANT_TIMEOUT_MILLIS))
                .whenComplete((result, failure) -> {
                    grantRequested = false;
                    if (result instanceof CommandResult.OriginGranted) {
                        originKept.andNot(reportedKept);
                        originFailed.andNot(reportedFailed);
                    }
                    boolean granted = result instanceof CommandResult.OriginGranted grant
                            && !grant.chunks().isEmpty();
                    grantIntervalMillis =
                            granted ? 0 : Math.min(2 * grantIntervalMillis + RETRY_MILLIS, 10 * RETRY_MILLIS);
                    if (granted) {
                        ((CommandResult.OriginGranted) result).chunks().forEach(this::fetchFromOrigin);
                    }
                    startTransfers();
                });
    }

    private boolean hasUnreportedResults() {
        return !originKept.isEmpty() || !originFailed.isEmpty();
    }

    private void fetchFromOrigin(int chunk) {
        if (stopped) {
            return;
        }
        originFetches++;
        planner.originFetchStarted(chunk);
        context.origin()
                .fetchChunk(version.origin(), file.manifest(), chunk)
                .then(bytes -> store(chunk, bytes, "origin"), failure -> Promise.of(TransferOutcome.FAILED))
                .whenComplete((result, failure) -> {
                    originFetches--;
                    TransferOutcome outcome = failure == null ? result : TransferOutcome.FAILED;
                    (outcome == TransferOutcome.KEPT ? originKept : originFailed).set(chunk);
                    planner.originFetchEnded(chunk, outcome);
                    if (result == TransferOutcome.CORRUPT && ++originCorrupt >= MAX_CORRUPT_ORIGIN_CHUNKS) {
                        fail(new CopyStoppedException(ResultCode.ORIGIN_CORRUPT));
                        return;
                    }
                    startTransfers();
                });
    }

    private void verifyFile() {
        if (verifying) {
            return;
        }
        verifying = true;
        Promise.ofBlocking(context.files(), file::verifyAll).whenComplete((valid, failure) -> {
            verifying = false;
            if (failure != null) {
                fail(failure);
            } else if (valid) {
                completion.trySet(file);
            } else {
                planner = newPlanner();
                startTransfers();
            }
        });
    }

    private void fail(Exception reason) {
        stopped = true;
        completion.trySetException(reason);
    }

    private static Address nodeAddress(Box box) {
        return Address.parse(box.nodeAddress());
    }

    @Override
    public String toString() {
        return "VersionCopy[" + version.model() + " " + version.name() + " " + planner + "]";
    }
}
