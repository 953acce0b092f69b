package org.bankturn.daemon.group;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.registry.TargetSighting;

/** A control dialect with short paths for tests; a heartbeat path may end with the target's address. */
public final class PlainControlDialect implements ControlDialect {
    @Override
    public ControlCall read(HttpHead head, byte[] body) {
        String[] parts = head.second().split("/", -1);
        return switch (parts[1]) {
            case "put" -> new ControlCall.Publish(body);
            case "get" -> new ControlCall.Read();
            case "beat" ->
                new ControlCall.Heartbeat(new TargetSighting(
                        parts[2],
                        "chat",
                        parts.length > 5 ? parts[5] : parts[2] + ":80",
                        "north",
                        4,
                        parts[3].equals("leaving"),
                        1,
                        Long.parseLong(parts[4])));
            case "leave" -> new ControlCall.Leave(parts[2], 0);
            default -> new ControlCall.Unknown();
        };
    }

    @Override
    public HttpHead head(ControlAnswer answer) {
        int status =
                answer instanceof ControlAnswer.Refused ? 400 : answer instanceof ControlAnswer.Unavailable ? 503 : 200;
        return HttpHead.response(status, List.of());
    }

    @Override
    public byte[] body(ControlAnswer answer) {
        return answer instanceof ControlAnswer.Document document
                ? document.document()
                : "".getBytes(StandardCharsets.UTF_8);
    }
}
