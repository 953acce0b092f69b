package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.bankturn.daemon.gateway.EventSplitter.Event;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    @Test
    void events_are_complete_however_the_bytes_arrive() {
        String series = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
        List<Event> events = new ArrayList<>();
        for (byte each : series.getBytes(StandardCharsets.ISO_8859_1)) {
            events.addAll(splitter.add(new byte[] {each}));
        }
        assertThat(events).extracting(Event::id).containsExactly("1", "2");
        assertThat(new String(events.get(0).bytes(), StandardCharsets.ISO_8859_1))
                .isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.remainingBytes()).isEqualTo("id: 3\nda".length());
        List<Event> rest = splitter.add("ta: c\n\n".getBytes(StandardCharsets.ISO_8859_1));
        assertThat(rest).hasSize(1);
        assertThat(new String(rest.get(0).bytes(), StandardCharsets.ISO_8859_1)).isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void an_event_without_an_id_has_none() {
        List<Event> events = splitter.add("data: a\n\n".getBytes(StandardCharsets.ISO_8859_1));
        assertThat(events).hasSize(1);
        assertThat(events.get(0).id()).isNull();
    }
}
