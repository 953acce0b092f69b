package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against bytes that are no response reaching the caller as one, with a line of them or with a body cut differently. */
class MalformedResponseTest extends GatewayFixture {
    private static final String LENGTH = "Content-Length: 2\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** A head with a malformed field, and the body that follows. */
    enum Malformed {
        BLANK_IN_NAME("Na me: x\r\n" + LENGTH, "ok"),
        BLANK_IN_NAME_OF_LENGTH("Content Length: 2\r\nConnection: close\r\n", "ok"),
        BLANK_BEFORE_COLON("Name : x\r\n" + LENGTH, "ok"),
        TAB_BEFORE_COLON("Name\t: x\r\n" + LENGTH, "ok"),
        NUL_IN_NAME("Na\0me: x\r\n" + LENGTH, "ok"),
        CONTROL_BYTE_IN_NAME("Na\1me: x\r\n" + LENGTH, "ok"),
        DELETE_IN_NAME("Na\177me: x\r\n" + LENGTH, "ok"),
        CARRIAGE_RETURN_IN_NAME("Na\rme: x\r\n" + LENGTH, "ok"),
        LINE_FEED_BEFORE_NAME("\nName: x\r\n" + LENGTH, "ok"),
        LINE_FEED_IN_NAME("Na\nme: x\r\n" + LENGTH, "ok"),
        SEPARATOR_IN_NAME("Na(me: x\r\n" + LENGTH, "ok"),
        BYTE_ABOVE_ASCII_IN_NAME("Na\u00e9me: x\r\n" + LENGTH, "ok"),
        EMPTY_NAME(": x\r\n" + LENGTH, "ok"),
        NO_COLON("Name\r\n" + LENGTH, "ok"),
        FOLDED_BY_BLANK("Name: x\r\n folded: y\r\n" + LENGTH, "ok"),
        FOLDED_BY_TAB("Name: x\r\n\tfolded: y\r\n" + LENGTH, "ok"),
        NUL_IN_VALUE("Name: a\0b\r\n" + LENGTH, "ok"),
        CONTROL_BYTE_IN_VALUE("Name: a\1b\r\n" + LENGTH, "ok"),
        CONTROL_BYTE_BEFORE_VALUE("Name: \1b\r\n" + LENGTH, "ok"),
        DELETE_IN_VALUE("Name: a\177b\r\n" + LENGTH, "ok"),
        CARRIAGE_RETURN_IN_VALUE("Name: a\rb\r\n" + LENGTH, "ok"),
        CARRIAGE_RETURN_AFTER_VALUE("Name: a\r\r\n" + LENGTH, "ok"),
        LINE_FEEDS_IN_VALUE("Name: a\n\nb\r\n" + LENGTH, "ok"),
        CONTROL_BYTE_BEFORE_LENGTH("Content-Length: \0012\r\n", "ok"),
        REPEATED_LENGTH(LENGTH + LENGTH, "ok"),
        CONFLICTING_LENGTHS(LENGTH + "Content-Length: 1\r\n", "ok"),
        LIST_OF_LENGTHS("Content-Length: 2, 2\r\n", "ok"),
        SIGNED_LENGTH("Content-Length: +2\r\n", "ok"),
        NEGATIVE_LENGTH("Content-Length: -2\r\n", "ok"),
        EMPTY_LENGTH("Content-Length:\r\n", "ok"),
        HEXADECIMAL_LENGTH("Content-Length: 0x2\r\n", "ok"),
        LENGTH_TOO_LARGE("Content-Length: 99999999999999999999\r\n", "ok"),
        CODING_AND_LENGTH(CHUNKED + "Content-Length: 12\r\n", "2\r\nok\r\n0\r\n\r\n"),
        REPEATED_CODING(CHUNKED + CHUNKED, "2\r\nok\r\n0\r\n\r\n"),
        UNKNOWN_CODING("Transfer-Encoding: gzip\r\n", "2\r\nok\r\n0\r\n\r\n"),
        SIGNED_CHUNK_SIZE(CHUNKED, "+2\r\nok\r\n0\r\n\r\n"),
        CONTROL_BYTE_BEFORE_CHUNK_SIZE(CHUNKED, "\0012\r\nok\r\n0\r\n\r\n"),
        BLANK_BEFORE_CHUNK_SIZE(CHUNKED, " 2\r\nok\r\n0\r\n\r\n"),
        CONTROL_BYTE_IN_CHUNK_EXTENSION(CHUNKED, "2;\1\r\nok\r\n0\r\n\r\n"),
        LINE_FEED_AFTER_CHUNK_SIZE(CHUNKED, "2\nok\r\n0\r\n\r\n"),
        CONTROL_BYTE_AFTER_CHUNK(CHUNKED, "2\r\nok\1\r\n0\r\n\r\n"),
        BLANK_IN_NAME_OF_TRAILER(CHUNKED, "2\r\nok\r\n0\r\nNa me: x\r\n\r\n"),
        CONTROL_BYTE_IN_TRAILER(CHUNKED, "2\r\nok\r\n0\r\nName: \1\r\n\r\n"),
        TRAILER_WITHOUT_COLON(CHUNKED, "2\r\nok\r\n0\r\nName\r\n\r\n");

        private final String fields;
        private final String body;

        Malformed(String fields, String body) {
            this.fields = fields;
            this.body = body;
        }

        String response(String id) {
            return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "\r\n" + body;
        }
    }

    @ParameterizedTest
    @EnumSource(Malformed.class)
    void a_malformed_response_is_no_response_and_ends_its_connection(Malformed malformed) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedTarget one = malformed(malformed, closed);
        ScriptedTarget other = malformed(malformed, closed);
        publish(RequestKind.UNSAFE, 2, one, other);
        assertThat(call("POST", "r1", "x")).startsWith("HTTP/1.1 502").doesNotContain("Name");
        assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Malformed.class)
    void a_request_that_may_be_repeated_is_served_by_another_target(Malformed malformed) throws Exception {
        AtomicBoolean first = new AtomicBoolean(true);
        ScriptedTarget one = malformedAtFirst(malformed, first);
        ScriptedTarget other = malformedAtFirst(malformed, first);
        publish(RequestKind.IDEMPOTENT, 2, one, other);
        assertThat(call("POST", "r1", "x"))
                .startsWith("HTTP/1.1 200")
                .doesNotContain("Name")
                .endsWith("whole");
        assertThat(one.heads).hasSize(1);
        assertThat(other.heads).hasSize(1);
    }

    private ScriptedTarget malformedAtFirst(Malformed malformed, AtomicBoolean first) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            boolean whole = !first.getAndSet(false);
            ScriptedTarget.write(
                    socket,
                    whole
                            ? "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 5\r\n\r\nwhole"
                            : malformed.response(id));
            return true;
        }));
    }

    @Test
    void a_malformed_response_is_logged_with_what_is_wrong() throws Exception {
        publish(RequestKind.UNSAFE, 1, malformed(Malformed.NUL_IN_NAME, new CountDownLatch(1)));
        call("POST", "r1", "x");
        assertThat(log.awaitLine(DecisionKind.HEALTH, "r1"))
                .contains("\"reason\":\"MALFORMED\"", "\"error\":\"invalid field name: Na?me\"");
    }

    @Test
    void bytes_that_are_allowed_in_fields_and_chunks_are_accepted() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\n!#$%&'*+-.^_`|~09azAZ:a\tb \u00e9\t\r\nEmpty:\r\n" + CHUNKED
                            + "\r\n02;name=\"v\" \r\nok\r\n0\r\nName: x\r\n\r\n");
            return true;
        })));
        assertThat(call("POST", "r1", "x"))
                .startsWith("HTTP/1.1 200")
                .contains("!#$%&'*+-.^_`|~09azAZ: a\tb \u00e9\r\n")
                .endsWith("ok");
    }

    private ScriptedTarget malformed(Malformed malformed, CountDownLatch closed) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            try {
                ScriptedTarget.write(socket, malformed.response(id));
                ScriptedTarget.awaitClose(socket);
            } finally {
                closed.countDown();
            }
            return false;
        }));
    }
}
