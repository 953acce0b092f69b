package org.bankturn.daemon.target;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.distribution.ChunkFile;
import org.bankturn.distribution.LinkRateLimiter;

/**
 * Serves the chunks stored on this box to its peers, within the upload rate limit of its link.
 *
 * <p>ChunkServer is confined to its reactor's thread; files are read on the file executor.
 */
final class ChunkServer {
    /** The delay before a long poll is answered, so that one reply covers several stored chunks. */
    private static final long HOLDS_BATCH_DELAY_MILLIS = 20;

    private final Executor files;
    private final LinkRateLimiter upload;
    private final Map<String, ChunkFile> filesByManifest = new HashMap<>();
    private List<SettablePromise<Void>> waiters = new ArrayList<>();

    ChunkServer(Executor files, LinkRateLimiter upload) {
        this.files = files;
        this.upload = upload;
    }

    void serve(ChunkFile file) {
        filesByManifest.put(file.manifest().digest(), file);
    }

    void stopServing(String manifest) {
        filesByManifest.remove(manifest);
    }

    /** Completes the long polls that wait for a new chunk. */
    void notifyChunkStored() {
        List<SettablePromise<Void>> completed = waiters;
        waiters = new ArrayList<>();
        completed.forEach(change -> change.trySet(null));
    }

    Promise<NodeReply> manifest(NodeRequest.GetManifest request) {
        ChunkFile file = filesByManifest.get(request.manifest());
        return Promise.of(
                new NodeReply.ManifestText(file == null ? null : file.manifest().text()));
    }

    Promise<NodeReply> holds(NodeRequest.GetHeldChunks request) {
        if (storedCount(request.manifest()) != request.knownCount() || request.waitMillis() <= 0) {
            return Promise.of(holdsReply(request.manifest()));
        }
        SettablePromise<Void> change = new SettablePromise<>();
        waiters.add(change);
        return Promises.timeout(request.waitMillis(), change)
                .then(nothing -> Promises.delay(HOLDS_BATCH_DELAY_MILLIS), failure -> {
                    waiters.remove(change);
                    return Promise.complete();
                })
                .map(nothing -> holdsReply(request.manifest()));
    }

    Promise<NodeReply> chunk(NodeRequest.GetChunk request) {
        ChunkFile file = filesByManifest.get(request.manifest());
        if (file == null
                || request.chunk() < 0
                || request.chunk() >= file.manifest().chunkCount()) {
            return Promise.of(new NodeReply.Chunk(null, false));
        }
        int size = file.manifest().sizeOf(request.chunk());
        if (upload.isBusyFor(size)) {
            return Promise.of(new NodeReply.Chunk(null, true));
        }
        long delay = upload.delayMillis(size);
        return Promises.delay(delay)
                .then(nothing -> Promise.ofBlocking(files, () -> file.read(request.chunk())))
                .map(bytes -> new NodeReply.Chunk(bytes, false));
    }

    private int storedCount(String manifest) {
        ChunkFile file = filesByManifest.get(manifest);
        return file == null ? 0 : file.storedChunks().cardinality();
    }

    private NodeReply holdsReply(String manifest) {
        ChunkFile file = filesByManifest.get(manifest);
        BitSet stored = file == null ? new BitSet() : file.storedChunks();
        return new NodeReply.HeldChunks(stored.toLongArray(), stored.cardinality());
    }
}
