package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.distribution.LinkLimit;
import org.bankturn.time.Clock;

/**
 * Hands pieces to neighbours no faster than a share of the box's link.
 *
 * <p>While the engine serves, its answers need room on the link; an engine that holds nothing needs none.
 */
final class PieceSender {
    private static final double SHARE_BESIDE_ANSWERS = 0.8;
    private static final double SHARE_ALONE = 0.98;
    private static final long BURST_MILLIS = 40;

    private final Eventloop reactor;
    private final LinkLimit besideAnswers;
    private final LinkLimit alone;

    PieceSender(Eventloop reactor, Clock clock, long linkBytesPerSecond) {
        this.reactor = reactor;
        this.besideAnswers = limit(clock, linkBytesPerSecond, SHARE_BESIDE_ANSWERS);
        this.alone = limit(clock, linkBytesPerSecond, SHARE_ALONE);
    }

    private static LinkLimit limit(Clock clock, long linkBytesPerSecond, double share) {
        return LinkLimit.of(Math.max(1, (long) (linkBytesPerSecond * share)), BURST_MILLIS, clock);
    }

    /** Gives the reply when the link has room for it, beside the answers of an engine that serves. */
    Promise<NodeReply> reply(byte[] bytes, boolean engineServes) {
        if (bytes == null) {
            return Promise.of(new NodeReply.Piece(null));
        }
        SettablePromise<NodeReply> reply = new SettablePromise<>();
        LinkLimit limit = engineServes ? besideAnswers : alone;
        reactor.delayBackground(limit.delayMillis(bytes.length), () -> reply.set(new NodeReply.Piece(bytes)));
        return reply;
    }
}
