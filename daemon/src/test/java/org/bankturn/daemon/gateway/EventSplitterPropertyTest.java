package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** A stream is split alike however its bytes arrive, and no byte is lost or added. */
class EventSplitterPropertyTest {
    @Property(seed = "1", tries = 3_000)
    void events_do_not_depend_on_how_the_bytes_arrive(
            @ForAll("streams") String stream, @ForAll("partSizes") List<Integer> parts) {
        List<String> whole = split(stream, List.of(Math.max(1, stream.length())));
        assertThat(split(stream, parts)).isEqualTo(whole);
        assertThat(stream).startsWith(String.join("", whole));
    }

    @Provide
    Arbitrary<String> streams() {
        return Arbitraries.of(
                        "id: 1\n", "id: 2\r\n", "data: a\n", "\n", "\r\n", "\r", ":", "x", "\u0000", "y".repeat(2_000))
                .list()
                .ofMaxSize(30)
                .map(pieces -> String.join("", pieces));
    }

    @Provide
    Arbitrary<List<Integer>> partSizes() {
        return Arbitraries.integers().between(1, 50).list().ofMinSize(1).ofMaxSize(20);
    }

    private static List<String> split(String stream, List<Integer> parts) {
        EventSplitter splitter = new EventSplitter();
        List<String> events = new ArrayList<>();
        int start = 0;
        int size = 0;
        for (int part = 0; start < stream.length(); part++) {
            int end = Math.min(stream.length(), start + parts.get(part % parts.size()));
            byte[] bytes = stream.substring(start, end).getBytes(StandardCharsets.ISO_8859_1);
            for (EventSplitter.Event event : splitter.add(bytes)) {
                events.add(new String(event.bytes(), StandardCharsets.ISO_8859_1));
                size += event.bytes().length;
            }
            start = end;
            assertThat(splitter.remainingBytes()).isEqualTo(start - size);
        }
        return events;
    }
}
