package org.bankturn.daemon.group;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftNode;
import org.bankturn.daemon.http.HttpHead;

/**
 * The operator call {@code GET /group}, which lists the members of the control group as one process knows them.
 *
 * <p>Only the leader knows how long ago each member responded and how many further losses the group tolerates; the JSON
 * object of another process lacks these fields. It is served at the operators' address in addition to the calls that the
 * platform defines.
 */
final class MemberListing {
    private static final String PATH = "/group";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The JSON object; {@code member} is false while the answering process is no voting member. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Listing(
            String process,
            boolean member,
            boolean leads,
            String leader,
            long term,
            long lastIndex,
            List<Entry> members,
            Integer tolerableLosses) {}

    /**
     * A voting member; {@code silentMillis} is the time since it last responded to the leader, {@code matchIndex} the last
     * log entry that the leader knows it to hold.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Entry(String address, Long silentMillis, Long matchIndex) {}

    private MemberListing() {}

    /** Parses a request, empty if it is not this call, not null. */
    static Optional<ControlCall> read(HttpHead head) {
        boolean listed = head.first().equals("GET") && head.second().equals(PATH);
        return listed ? Optional.of(new ControlCall.ListMembers()) : Optional.empty();
    }

    /** Returns the JSON object, not null. */
    static byte[] list(RaftNode node) {
        boolean leads = node.isEstablishedLeader();
        List<Entry> entries = node.members().stream()
                .map(member -> entry(node, member, leads))
                .toList();
        Listing listing = new Listing(
                node.self().address(),
                node.members().contains(node.self()),
                leads,
                node.leader().map(Member::address).orElse(null),
                node.term(),
                node.lastIndex(),
                entries,
                leads ? node.tolerableLosses() : null);
        try {
            return JSON.writeValueAsBytes(listing);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Entry entry(RaftNode node, Member member, boolean leads) {
        return leads
                ? new Entry(member.address(), node.silentMillis(member), node.matchIndex(member))
                : new Entry(member.address(), null, null);
    }
}
