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
 * Serves the chunks that this box holds to its peers, no faster than its link allows.
 *
 * <p>ChunkServer is confined to its reactor's thread; files are read on the executor.
 */
final class ChunkServer {
    private static final long NEWS_PAUSE_MILLIS = 20;

    private final Executor files;
    private final LinkRateLimiter upload;
    private final Map<String, ChunkFile> served = new HashMap<>();
    private List<SettablePromise<Void>> waiting = new ArrayList<>();

    ChunkServer(Executor files, LinkRateLimiter upload) {
        this.files = files;
        this.upload = upload;
    }

    void serve(ChunkFile file) {
        served.put(file.manifest().digest(), file);
    }

    void stopServing(String manifest) {
        served.remove(manifest);
    }

    /** Tells peers that wait that there is a new chunk. */
    void notifyChunkStored() {
        List<SettablePromise<Void>> woken = waiting;
        waiting = new ArrayList<>();
        woken.forEach(news -> news.trySet(null));
    }

    Promise<NodeReply> manifest(NodeRequest.GetManifest request) {
        ChunkFile file = served.get(request.manifest());
        return Promise.of(
                new NodeReply.ManifestText(file == null ? null : file.manifest().text()));
    }

    Promise<NodeReply> holds(NodeRequest.GetHolds request) {
        if (countOf(request.manifest()) != request.knownCount() || request.waitMillis() <= 0) {
            return Promise.of(holdsReply(request.manifest()));
        }
        SettablePromise<Void> news = new SettablePromise<>();
        waiting.add(news);
        return Promises.timeout(request.waitMillis(), news)
                .then(nothing -> Promises.delay(NEWS_PAUSE_MILLIS), failure -> {
                    waiting.remove(news);
                    return Promise.complete();
                })
                .map(nothing -> holdsReply(request.manifest()));
    }

    Promise<NodeReply> chunk(NodeRequest.GetChunk request) {
        ChunkFile file = served.get(request.manifest());
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

    private int countOf(String manifest) {
        ChunkFile file = served.get(manifest);
        return file == null ? 0 : file.storedChunks().cardinality();
    }

    private NodeReply holdsReply(String manifest) {
        ChunkFile file = served.get(manifest);
        BitSet kept = file == null ? new BitSet() : file.storedChunks();
        return new NodeReply.Holds(kept.toLongArray(), kept.cardinality());
    }
}
