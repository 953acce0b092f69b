package org.bankturn.daemon.group;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.http.HttpHead;

/**
 * Operator calls that list the requests during which targets crashed, and clear one of them.
 *
 * <p>{@code GET /suspects} returns a JSON list; {@code DELETE /suspects/FINGERPRINT} clears a request. They are served at
 * the operators' address in addition to the calls that the platform defines.
 */
final class SuspectCalls {
    private static final String LIST_PATH = "/suspects";
    private static final String ITEM_PREFIX = LIST_PATH + "/";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An entry of the JSON list. */
    private record Entry(String fingerprint, List<String> endedTargets, int trials, boolean sentToNoTarget) {}

    private SuspectCalls() {}

    /** Parses a request, empty if it is none of these calls, not null. */
    static Optional<ControlCall> read(HttpHead head) {
        if (head.first().equals("GET") && head.second().equals(LIST_PATH)) {
            return Optional.of(new ControlCall.ListSuspects());
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

    /** Returns the JSON list of requests during which at least one target crashed, not null. */
    static byte[] list(List<Suspect> suspects) {
        List<Entry> entries = suspects.stream()
                .filter(each -> !each.endedTargets().isEmpty())
                .map(each -> new Entry(
                        each.fingerprint().toString(), each.endedTargets(), each.trials(), each.isCondemned()))
                .toList();
        try {
            return JSON.writeValueAsBytes(entries);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
