package org.bankturn.daemon.target;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.bankturn.daemon.BackendClient;
import org.bankturn.distribution.Manifest;

/**
 * Fetches manifests and chunks from the origin over HTTP: {@code GET /manifests/DIGEST} and
 * {@code GET /weights/DIGEST} with a byte range.
 *
 * <p>OriginClient is confined to its reactor's thread.
 */
final class OriginClient {
    private static final int OK = 200;
    private static final int PARTIAL_CONTENT = 206;
    private static final long CHUNK_TIMEOUT_MILLIS = 120_000;
    private static final int MAX_MANIFEST_BYTES = 64 << 20;

    private final BackendClient client;

    OriginClient(BackendClient client) {
        this.client = client;
    }

    /** Fetches a manifest and verifies it; empty if it does not match the digest. */
    Promise<Optional<Manifest>> fetchManifest(String origin, String digest) {
        HttpRequest request =
                HttpRequest.get("http://" + origin + "/manifests/" + digest).build();
        return client.send(request)
                .response()
                .then(response -> load(response, OK, MAX_MANIFEST_BYTES))
                .map(bytes -> Manifest.parse(new String(bytes, StandardCharsets.UTF_8), digest));
    }

    /** Fetches a chunk's bytes without verifying them. */
    Promise<byte[]> fetchChunk(String origin, Manifest manifest, int chunk) {
        long first = manifest.offsetOf(chunk);
        long last = first + manifest.sizeOf(chunk) - 1;
        HttpRequest request = HttpRequest.get("http://" + origin + "/weights/" + manifest.digest())
                .withHeader(HttpHeaders.RANGE, "bytes=" + first + "-" + last)
                .build();
        Promise<byte[]> bytes = client.send(request)
                .response()
                .then(response -> load(response, PARTIAL_CONTENT, manifest.sizeOf(chunk)));
        return Promises.timeout(CHUNK_TIMEOUT_MILLIS, bytes);
    }

    private static Promise<byte[]> load(HttpResponse response, int expectedCode, int maxBytes) {
        if (response.getCode() != expectedCode) {
            return Promise.ofException(new IOException("origin responded with status " + response.getCode()));
        }
        return response.loadBody(maxBytes).map(ByteBuf::getArray);
    }
}
