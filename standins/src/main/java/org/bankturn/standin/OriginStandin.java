package org.bankturn.standin;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bankturn.distribution.LinkRateLimiter;
import org.bankturn.time.Clock;

/**
 * A stand-in for the weight origin: serves manifests and byte ranges over HTTP through a rate-limited link.
 *
 * <p>It counts the bytes sent of each version and can corrupt them.
 */
public final class OriginStandin implements AutoCloseable {
    private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d+)");
    private static final int NOT_FOUND = 404;
    private static final long BURST_MILLIS = 20;

    private final LinkRateLimiter link;
    private final Map<String, Weights> weights = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> sentBytes = new ConcurrentHashMap<>();
    private volatile boolean corrupting;
    private StandinServer server;

    /**
     * Starts an origin.
     *
     * @param port its port on loopback
     * @param bytesPerSecond the rate of its link
     * @return the origin, not null
     * @throws IOException if the port is taken
     */
    public static OriginStandin start(int port, long bytesPerSecond) throws IOException {
        OriginStandin origin = new OriginStandin(bytesPerSecond);
        origin.server = StandinServer.start(port, reactor -> origin.servlet());
        return origin;
    }

    private OriginStandin(long bytesPerSecond) {
        this.link = LinkRateLimiter.of(bytesPerSecond, BURST_MILLIS, Clock.system());
    }

    /**
     * Publishes a version.
     *
     * @param added its weights, not null
     */
    public void publish(Weights added) {
        weights.put(added.manifest().digest(), added);
        sentBytes.put(added.manifest().digest(), new AtomicLong());
    }

    /**
     * Switches the corruption of sent bytes on or off.
     *
     * @param corrupting true to corrupt sent bytes
     */
    public void setCorrupting(boolean corrupting) {
        this.corrupting = corrupting;
    }

    /**
     * Returns the amount of data sent of a version.
     *
     * @param manifest the digest of its manifest, not null
     * @return the bytes sent, as a multiple of the total size
     */
    public double copiesSent(String manifest) {
        return sentBytes.get(manifest).get()
                / (double) weights.get(manifest).manifest().totalBytes();
    }

    @Override
    public void close() {
        server.close();
    }

    private AsyncServlet servlet() {
        return request -> {
            String path = request.getPath();
            Weights found = weights.get(path.substring(path.lastIndexOf('/') + 1));
            if (found == null) {
                return HttpResponse.ofCode(NOT_FOUND).toPromise();
            }
            return path.startsWith("/manifests/")
                    ? HttpResponse.ok200().withBody(found.manifest().text()).toPromise()
                    : range(request, found);
        };
    }

    private Promise<HttpResponse> range(HttpRequest request, Weights found) {
        Matcher range = RANGE.matcher(String.valueOf(request.getHeader(HttpHeaders.RANGE)));
        if (!range.matches()) {
            return HttpResponse.ofCode(NOT_FOUND).toPromise();
        }
        int first = Integer.parseInt(range.group(1));
        int length = Integer.parseInt(range.group(2)) - first + 1;
        byte[] part = new byte[length];
        System.arraycopy(found.bytes(), first, part, 0, length);
        if (corrupting) {
            part[0] ^= 1;
        }
        return Promises.delay(link.delayMillis(length)).map(nothing -> {
            sentBytes.get(found.manifest().digest()).addAndGet(length);
            return HttpResponse.ok206().withBody(ByteBuf.wrapForReading(part)).build();
        });
    }
}
