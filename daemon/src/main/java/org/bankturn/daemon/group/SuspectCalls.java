package org.bankturn.daemon.group;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.publication.PublicationState;

/**
 * Operator calls that list the requests and prompt parts during which targets crashed, and clear one of them.
 *
 * <p>{@code GET /suspects} returns a JSON list; {@code DELETE /suspects/FINGERPRINT} clears a request, {@code DELETE
 * /suspects/parts/ID} a prompt part. They are served at the operators' address in addition to the calls that the platform
 * defines.
 */
final class SuspectCalls {
    private static final String LIST_PATH = "/suspects";
    private static final String ITEM_PREFIX = LIST_PATH + "/";
    private static final String PART_PREFIX = ITEM_PREFIX + "parts/";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An entry of the JSON list for a request. */
    private record RequestEntry(String fingerprint, List<String> endedTargets, int trials, boolean sentToNoTarget) {}

    /** An entry of the JSON list for a prompt part; without a version if no request with it is known to have completed. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record PartEntry(
            String part, List<String> endedTargets, Integer completedOnVersion, int trials, boolean sentToNoTarget) {}

    private SuspectCalls() {}

    /** Parses a request, empty if it is none of these calls, not null. */
    static Optional<ControlCall> read(HttpHead head) {
        if (head.first().equals("GET") && head.second().equals(LIST_PATH)) {
            return Optional.of(new ControlCall.ListSuspects());
        }
        if (head.first().equals("DELETE") && head.second().startsWith(PART_PREFIX)) {
            return Optional.of(new ControlCall.ClearSuspectPart(head.second().substring(PART_PREFIX.length())));
        }
        if (head.first().equals("DELETE") && head.second().startsWith(ITEM_PREFIX)) {
            return Optional.of(clear(head.second().substring(ITEM_PREFIX.length())));
        }
        return Optional.empty();
    }

    private static ControlCall clear(String fingerprint) {
        try {
            return new ControlCall.ClearSuspect(RequestFingerprint.parse(fingerprint));
        } catch (IllegalArgumentException e) {
            return new ControlCall.Malformed(e.getMessage());
        }
    }

    /** Returns the JSON list of requests and prompt parts during which at least one target crashed, not null. */
    static byte[] list(PublicationState state) {
        Set<String> condemnedParts = state.suspectParts().condemned();
        Stream<RequestEntry> requests = state.suspects().stream()
                .filter(each -> !each.endedTargets().isEmpty())
                .map(each -> new RequestEntry(
                        each.fingerprint().toString(), each.endedTargets(), each.trials(), each.isCondemned()));
        Stream<PartEntry> parts = state.suspectParts().content().stream()
                .filter(each -> !each.crashes().isEmpty())
                .map(each -> new PartEntry(
                        each.part(),
                        each.endedTargets(),
                        each.hasCompleted() ? each.completedVersion() : null,
                        each.trials(),
                        condemnedParts.contains(each.part())));
        try {
            return JSON.writeValueAsBytes(Stream.concat(requests, parts).toList());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
