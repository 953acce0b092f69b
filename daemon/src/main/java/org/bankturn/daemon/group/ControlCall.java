package org.bankturn.daemon.group;

import org.bankturn.crash.RequestFingerprint;
import org.bankturn.registry.TargetSighting;

/** A request of an operator or a target to a control process. */
public sealed interface ControlCall {
    /** Publishes a document. */
    record Publish(byte[] document) implements ControlCall {}

    /** Reads the current document. */
    record Read() implements ControlCall {}

    /** Names a version of a model's weights. */
    record NameWeights(String model, int version) implements ControlCall {}

    /** Reports that a target is running. */
    record Heartbeat(TargetSighting sighting) implements ControlCall {}

    /**
     * Removes, at its own request, the incarnation of a target that started at {@code bornMillis}, or the registered
     * one if that is 0.
     */
    record Leave(String name, long bornMillis) implements ControlCall {}

    /** Lists the requests and prompt parts during which targets crashed. */
    record ListSuspects() implements ControlCall {}

    /** Allows a request to run again although targets crashed while running it. */
    record ClearSuspect(RequestFingerprint request) implements ControlCall {}

    /** Allows requests with a prompt part to run again although targets crashed while running them. */
    record ClearSuspectPart(String part) implements ControlCall {}

    /** Starts or ends the evacuation of a data hall. */
    record Evacuate(String hall, boolean start) implements ControlCall {}

    /** Lists the evacuated data halls. */
    record ListEvacuations() implements ControlCall {}

    /** Lists the members of the control group. */
    record ListMembers() implements ControlCall {}

    /** A request that matches no known call. */
    record Unknown() implements ControlCall {}

    /** A request that cannot be parsed. */
    record Malformed(String reason) implements ControlCall {}
}
