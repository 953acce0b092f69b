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
 * Bankturn's own calls by which operators see the requests under which targets ended, and have one run again.
 *
 * <p>{@code GET /suspects} answers with a JSON list; {@code DELETE /suspects/FINGERPRINT} clears one. They are served at the
 * address of operators' calls, whatever else the platform defines there.
 */
final class SuspectCalls {
    private static final String ALL = "/suspects";
    private static final String ONE = ALL + "/";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One entry of the list. */
    private record Entry(String fingerprint, List<String> endedTargets, int trials, boolean sentToNoTarget) {}

    private SuspectCalls() {}

    /** Returns what a request asks, empty if it is none of these calls, not null. */
    static Optional<ControlCall> read(HttpHead head) {
        if (head.first().equals("GET") && head.second().equals(ALL)) {
            return Optional.of(new ControlCall.ListSuspects());
        }
        if (head.first().equals("DELETE") && head.second().startsWith(ONE)) {
            return Optional.of(clear(head.second().substring(ONE.length())));
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

    /** Returns the list of those that anything is held against, not null. */
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
