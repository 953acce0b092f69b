package org.bankturn.daemon.group;

import org.bankturn.crash.RequestFingerprint;
import org.bankturn.registry.TargetSighting;

/** What operators and targets ask of a control process. */
public sealed interface ControlCall {
    /** Publishes a document. */
    record Publish(byte[] document) implements ControlCall {}

    /** Reads the document in force. */
    record Read() implements ControlCall {}

    /** Names a version of a model's weights. */
    record NameWeights(String model, int version) implements ControlCall {}

    /** A target says that it is there. */
    record Heartbeat(TargetSighting sighting) implements ControlCall {}

    /** A target says that it leaves; {@code bornMillis} tells which start of it, 0 for the one that is there. */
    record Leave(String name, long bornMillis) implements ControlCall {}

    /** Lists the requests under which targets ended. */
    record ListSuspects() implements ControlCall {}

    /** Has a request run again although targets ended under it. */
    record ClearSuspect(RequestFingerprint request) implements ControlCall {}

    /** Something else. */
    record Unknown() implements ControlCall {}

    /** Something that cannot be read. */
    record Malformed(String reason) implements ControlCall {}
}
