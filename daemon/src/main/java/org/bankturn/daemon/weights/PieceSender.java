package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.distribution.LinkLimit;
import org.bankturn.time.Clock;

/** Hands pieces to neighbours no faster than a share of the box's link, which engines' answers share. */
final class PieceSender {
    private static final double SHARE_OF_LINK = 0.8;
    private static final long BURST_MILLIS = 40;

    private final Eventloop reactor;
    private final LinkLimit limit;

    PieceSender(Eventloop reactor, Clock clock, long linkBytesPerSecond) {
        this.reactor = reactor;
        this.limit = LinkLimit.of(Math.max(1, (long) (linkBytesPerSecond * SHARE_OF_LINK)), BURST_MILLIS, clock);
    }

    /** Gives the reply when the link has room for it. */
    Promise<NodeReply> reply(byte[] bytes) {
        if (bytes == null) {
            return Promise.of(new NodeReply.Piece(null));
        }
        SettablePromise<NodeReply> reply = new SettablePromise<>();
        reactor.delayBackground(limit.delayMillis(bytes.length), () -> reply.set(new NodeReply.Piece(bytes)));
        return reply;
    }
}
