package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a response whose head its target broke off reaching the caller as a complete one with an empty or short body. */
class CutHeadTest extends GatewayFixture {
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";

    /** How the body of the response is delimited. */
    private enum Framing {
        LENGTH("Content-Length: 2\r\n"),
        CHUNKED("Transfer-Encoding: chunked\r\n"),
        CLOSE("");

        private final String field;

        Framing(String field) {
            this.field = field;
        }

        String head(String id) {
            return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + field + "Seal: 1\r\n\r\n";
        }
    }

    /** What precedes the head on its connection. */
    private enum Before {
        NOTHING,
        WHOLE_RESPONSE,
        INTERIM_RESPONSE
    }

    @ParameterizedTest
    @CsvSource({
        "LENGTH, NOTHING, false",
        "LENGTH, NOTHING, true",
        "LENGTH, WHOLE_RESPONSE, false",
        "LENGTH, WHOLE_RESPONSE, true",
        "LENGTH, INTERIM_RESPONSE, false",
        "LENGTH, INTERIM_RESPONSE, true",
        "CHUNKED, NOTHING, false",
        "CHUNKED, NOTHING, true",
        "CHUNKED, WHOLE_RESPONSE, false",
        "CHUNKED, WHOLE_RESPONSE, true",
        "CHUNKED, INTERIM_RESPONSE, false",
        "CHUNKED, INTERIM_RESPONSE, true",
        "CLOSE, NOTHING, false",
        "CLOSE, NOTHING, true",
        "CLOSE, WHOLE_RESPONSE, false",
        "CLOSE, WHOLE_RESPONSE, true",
        "CLOSE, INTERIM_RESPONSE, false",
        "CLOSE, INTERIM_RESPONSE, true",
    })
    void a_head_cut_anywhere_is_no_response(Framing framing, Before before, boolean byReset) throws Exception {
        RequestKind[] kinds = RequestKind.values();
        int size = framing.head("r00").length();
        for (int cut = 0; cut < size; cut++) {
            RequestKind kind = kinds[cut % kinds.length];
            assertThat(callCutting(framing, before, byReset, cut, kind))
                    .as("%s, cut after %s bytes", kind, cut)
                    .startsWith("HTTP/1.1 502");
        }
    }

    private String callCutting(Framing framing, Before before, boolean byReset, int cut, RequestKind kind)
            throws IOException {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            if (number == 1 && before == Before.WHOLE_RESPONSE) {
                return answerWhole(id, socket);
            }
            String interim = before == Before.INTERIM_RESPONSE ? INTERIM : "";
            ScriptedTarget.write(socket, interim + framing.head(id).substring(0, cut));
            if (byReset) {
                // an immediate reset may overtake the bytes
                pause();
                ScriptedTarget.reset(socket);
            }
            return false;
        }));
        publish(kind, 1, target);
        if (before == Before.WHOLE_RESPONSE) {
            assertThat(call("POST", "w" + (10 + cut), "x")).startsWith("HTTP/1.1 200");
        }
        String answer = call("POST", "r" + (10 + cut), "body" + cut);
        assertThat(target.bodies).hasSize(before == Before.WHOLE_RESPONSE ? 2 : 1);
        return answer;
    }

    private static boolean answerWhole(String id, Socket socket) throws IOException {
        EventStream.begin(socket, id);
        EventStream.writeEvents(socket, 1, 1);
        EventStream.end(socket);
        return true;
    }
}
