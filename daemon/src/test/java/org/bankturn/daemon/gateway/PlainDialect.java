package org.bankturn.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.bankturn.daemon.http.HttpField;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.routing.TargetNotice;

/** A dialect with short field names, for tests. */
public final class PlainDialect implements RequestDialect {
    @Override
    public RequestMetadata parseRequest(HttpHead head) {
        return new RequestMetadata(
                head.field("Id").orElse(""),
                head.field("Host").orElse(""),
                head.second(),
                Long.parseLong(head.field("Deadline").orElse("0")),
                head.field("Key").orElse(null),
                0,
                0,
                0,
                head.field("Parts").map(PlainDialect::parts).orElse(PromptParts.NONE));
    }

    /** Parses the ids of all parts, separated by commas. */
    private static PromptParts parts(String value) {
        List<String> ids = List.of(value.split(",", -1));
        return new PromptParts(ids.subList(0, ids.size() - 1), 0);
    }

    @Override
    public HttpHead buildTargetRequest(HttpHead head, ForwardingMetadata forwarding) {
        HttpHead plain = head.withoutConnectionFields().without(Set.of("deadline", "key", "content-length"));
        List<HttpField> fields = new ArrayList<>(plain.fields());
        fields.add(new HttpField("Deadline", Long.toString(forwarding.remainingMillis())));
        fields.add(new HttpField("Target", forwarding.targetName()));
        if (forwarding.lastEventId() != null) {
            fields.add(new HttpField("Last-Event", forwarding.lastEventId()));
        }
        return HttpHead.request(head.first(), head.second(), fields);
    }

    @Override
    public ResponseMetadata parseResponse(HttpHead head) {
        return new ResponseMetadata(
                head.status(),
                head.field("Id").orElse(null),
                head.field("Not-Run").isPresent(),
                0,
                notice(head),
                List.of());
    }

    private static TargetNotice notice(HttpHead head) {
        OptionalDouble limit =
                head.field("Limit").stream().mapToDouble(Double::parseDouble).findFirst();
        long backOffMillis = head.field("Back-Off").map(Long::parseLong).orElse(0L);
        return new TargetNotice(limit, backOffMillis, head.field("Leaving").isPresent());
    }

    @Override
    public HttpHead buildResponse(int status, RequestMetadata metadata, long retryAfterMillis) {
        return HttpHead.response(
                status,
                retryAfterMillis > 0
                        ? List.of(new HttpField("Come-Back", Long.toString(retryAfterMillis)))
                        : List.of());
    }
}
