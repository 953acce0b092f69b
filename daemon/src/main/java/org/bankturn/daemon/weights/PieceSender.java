package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.distribution.LinkRateLimiter;
import org.bankturn.time.Clock;

/**
 * Sends pieces to neighbours, rate-limited to a share of the box's link.
 *
 * <p>The share is smaller while the engine serves, since its answers use the same link.
 */
final class PieceSender {
    private static final double SHARE_ENGINE_SERVING = 0.8;
    private static final double SHARE_ENGINE_EMPTY = 0.98;
    private static final long BURST_MILLIS = 40;

    private final Eventloop reactor;
    private final LinkRateLimiter servingLimit;
    private final LinkRateLimiter emptyLimit;

    PieceSender(Eventloop reactor, Clock clock, long linkBytesPerSecond) {
        this.reactor = reactor;
        this.servingLimit = limit(clock, linkBytesPerSecond, SHARE_ENGINE_SERVING);
        this.emptyLimit = limit(clock, linkBytesPerSecond, SHARE_ENGINE_EMPTY);
    }

    private static LinkRateLimiter limit(Clock clock, long linkBytesPerSecond, double share) {
        return LinkRateLimiter.of(Math.max(1, (long) (linkBytesPerSecond * share)), BURST_MILLIS, clock);
    }

    /** Completes with the reply once the rate limit allows it; {@code bytes} is null if the piece is not available. */
    Promise<NodeReply> reply(byte[] bytes, boolean engineServes) {
        if (bytes == null) {
            return Promise.of(new NodeReply.Piece(null));
        }
        SettablePromise<NodeReply> reply = new SettablePromise<>();
        LinkRateLimiter limit = engineServes ? servingLimit : emptyLimit;
        reactor.delayBackground(limit.delayMillis(bytes.length), () -> reply.set(new NodeReply.Piece(bytes)));
        return reply;
    }
}
