package org.bankturn.daemon.weights;

import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.weights.StartOrder;

/** The request targets and message formats of engines and weights origins. */
public interface WeightsDialect {
    /** Returns the request for an engine's report. */
    HttpHead report();

    /** Parses a report, empty if it is malformed. */
    Optional<EngineReport> report(byte[] body);

    /** Returns the request that stages a piece at an engine. */
    HttpHead stage(String model, int piece);

    /** Returns the request that reads a staged piece back. */
    HttpHead readBack(String model, int piece);

    /** Returns the request that sends an order to an engine. */
    HttpHead order(StartOrder order);

    /** Returns true if a rejection says that another incarnation than the expected one is at the address. */
    boolean isOtherInstance(HttpHead rejection);

    /** Returns the incarnation that a rejection names as the one at the address, empty if it names none. */
    Optional<String> instance(HttpHead rejection);

    /** Returns the body of an order to load the staged weights. */
    byte[] startOrder(StartOrder order);

    /** Returns the request for a manifest at the origin; version 0 selects the newest. */
    HttpHead manifest(String model, int version);

    /** Parses a manifest, empty if it is malformed. */
    Optional<PieceManifest> manifest(byte[] body);

    /** Returns the request for a piece at the origin. */
    HttpHead piece(String model, int version, int piece);
}
