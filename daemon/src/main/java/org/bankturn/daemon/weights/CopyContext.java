package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceRouting;

/** The environment of a copy of weights: its reactor, clock, log, metrics, routing and remote calls. */
interface CopyContext {
    /** Returns the reactor whose thread runs the copy. */
    Eventloop reactor();

    Clock clock();

    DecisionLog log();

    ServingMetrics metrics();

    /** Returns the message formats of engines and origins. */
    WeightsDialect dialect();

    /** Returns true if the engine on this box holds weights, so that its requests share the link. */
    boolean engineServes();

    /** Returns true if this process fetches a piece without a request for it. */
    boolean shouldFetch(int version, int piece);

    /** Returns the current routing for a version. */
    PieceRouting routing(int version);

    /** Sends a command to the local engine, at most once; fails unless the status is success. */
    Promise<PooledHttpClient.Response> callEngine(HttpHead head, byte[] body);

    /** Returns the number of commands to the local engine that were neither answered nor given up. */
    int commandsInFlight();

    /** Sends a read-only request to the local engine; fails unless the status is success. */
    Promise<PooledHttpClient.Response> queryEngine(HttpHead head);

    /** Returns the limit of concurrent calls from this box to the origin. */
    int maxOriginCalls();

    /** Calls the origin of weights; fails unless the status is success. */
    Promise<PooledHttpClient.Response> callOrigin(HttpHead head);

    /** Requests a piece from a neighbour; completes with null if it is not available there, fails if there is no answer. */
    Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request);

    /** Waits until a neighbour has a piece; completes with false on timeout, fails if there is no answer. */
    Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request);
}
