package org.bankturn.daemon.group;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.publication.HallEvacuation;

/**
 * Operator calls that list the evacuated data halls, and start or end the evacuation of one.
 *
 * <p>{@code GET /evacuations} returns a JSON object; {@code PUT /evacuations/HALL} starts and {@code DELETE
 * /evacuations/HALL} ends an evacuation. They are served at the operators' address in addition to the calls that the
 * platform defines.
 */
final class EvacuationCalls {
    private static final String LIST_PATH = "/evacuations";
    private static final String ITEM_PREFIX = LIST_PATH + "/";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The JSON object; {@code fresh} is false if the process may have missed an order. */
    private record Listing(List<Entry> evacuated, boolean fresh) {}

    /** An evacuated hall and the log index of the last order for it. */
    private record Entry(String hall, long orderIndex) {}

    private EvacuationCalls() {}

    /** Parses a request, empty if it is none of these calls, not null. */
    static Optional<ControlCall> read(HttpHead head) {
        String path = head.second();
        if (head.first().equals("GET") && path.equals(LIST_PATH)) {
            return Optional.of(new ControlCall.ListEvacuations());
        }
        boolean starts = head.first().equals("PUT");
        if (path.startsWith(ITEM_PREFIX) && (starts || head.first().equals("DELETE"))) {
            return Optional.of(order(path.substring(ITEM_PREFIX.length()), starts));
        }
        return Optional.empty();
    }

    private static ControlCall order(String hall, boolean start) {
        try {
            return new ControlCall.Evacuate(URLDecoder.decode(hall, StandardCharsets.UTF_8), start);
        } catch (IllegalArgumentException e) {
            return new ControlCall.Malformed(e.getMessage());
        }
    }

    /** Returns the JSON object with the evacuated data halls, not null. */
    static byte[] list(List<HallEvacuation> evacuations, boolean fresh) {
        List<Entry> evacuated = evacuations.stream()
                .filter(HallEvacuation::evacuated)
                .map(each -> new Entry(each.hall(), each.orderIndex()))
                .toList();
        try {
            return JSON.writeValueAsBytes(new Listing(evacuated, fresh));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
