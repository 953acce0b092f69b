package org.bankturn.daemon.weights;

import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.weights.ChangeMethod;

/** How engines and origins of weights are spoken to: names and formats only. */
public interface WeightsDialect {
    /** Returns the call that asks an engine for its report. */
    HttpHead report();

    /** Reads a report, empty if it is none. */
    Optional<EngineReport> report(byte[] body);

    /** Returns the call that lays a piece beside an engine. */
    HttpHead stage(String model, int piece);

    /** Returns the call that reads a piece back. */
    HttpHead readBack(String model, int piece);

    /** Returns the call that gives an engine an order. */
    HttpHead order();

    /** Returns the body of the order to take up the weights that lie there. */
    byte[] startOrder(String model, int version, ChangeMethod method);

    /** Returns the call that asks an origin for a manifest; version 0 asks for the newest. */
    HttpHead manifest(String model, int version);

    /** Reads a manifest, empty if it is none. */
    Optional<PieceManifest> manifest(byte[] body);

    /** Returns the call that asks an origin for a piece. */
    HttpHead piece(String model, int version, int piece);
}
