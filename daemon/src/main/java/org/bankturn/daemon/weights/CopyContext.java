package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceRouting;

/** What a copy of weights needs from the process around it. */
interface CopyContext {
    /** Returns the reactor whose thread all of this runs on. */
    Eventloop reactor();

    /** Returns the time. */
    Clock clock();

    /** Returns the decision log. */
    DecisionLog log();

    /** Returns the metrics. */
    ServingMetrics metrics();

    /** Returns how engines and origins are spoken to. */
    WeightsDialect dialect();

    /** Returns true if the engine on this box holds weights, so that its requests share the link. */
    boolean engineServes();

    /** Returns true if this process fetches a piece without being asked for it. */
    boolean wants(int version, int piece);

    /** Returns the plan for a version as of now. */
    PieceRouting routing(int version);

    /** Has the engine on this box do something, once; fails unless it says success. */
    Promise<HttpCalls.Answer> callEngine(HttpHead head, byte[] body);

    /** Asks the engine on this box something that changes nothing there; fails unless it says success. */
    Promise<HttpCalls.Answer> queryEngine(HttpHead head);

    /** Returns how many calls this box may have under way at the origin. */
    int maxOriginCalls();

    /** Calls the origin of weights; fails unless it says success. */
    Promise<HttpCalls.Answer> callOrigin(HttpHead head);

    /** Asks a neighbour for a piece; gives null if it has none, and fails if it does not answer. */
    Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request);

    /** Waits until a neighbour has a piece; gives false if time ran out, and fails if it does not answer. */
    Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request);
}
