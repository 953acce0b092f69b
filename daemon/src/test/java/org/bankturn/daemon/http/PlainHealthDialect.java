package org.bankturn.daemon.http;

import java.util.List;
import java.util.Optional;

/** A health dialect with short field names, for tests. */
public final class PlainHealthDialect implements HealthDialect {
    /** The field of a health request that names the expected target. */
    public static final String EXPECTED = "Expected";

    /** The field of an answer that names its sender. */
    public static final String NAME = "Name";

    @Override
    public HttpHead healthProbe(String healthPath, String name) {
        return HttpHead.request("GET", healthPath, List.of(new HttpField(EXPECTED, name)));
    }

    @Override
    public Optional<String> sender(HttpHead answer) {
        return answer.field(NAME);
    }

    @Override
    public Optional<Boolean> identifies(String name, HttpHead answer) {
        return sender(answer).map(name::equals);
    }

    @Override
    public long backOffMillis(HttpHead answer) {
        return answer.field("Back-Off").map(Long::parseLong).orElse(0L);
    }
}
