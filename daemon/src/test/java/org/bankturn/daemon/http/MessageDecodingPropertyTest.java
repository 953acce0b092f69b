package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Whatever a peer sends, heads and bodies are decoded alike however the bytes arrive, or rejected, and little is kept. */
class MessageDecodingPropertyTest {
    private static final int MAX_HEAD_BYTES = 4_096;
    private static final int MAX_LINE_BYTES = 4_096;

    @Property(seed = "1", tries = 3_000)
    void a_head_does_not_depend_on_how_its_bytes_arrive(
            @ForAll("messages") byte[] bytes, @ForAll("partSizes") List<Integer> parts) {
        assertThat(parseHead(bytes, parts)).isEqualTo(parseHead(bytes, List.of(bytes.length)));
    }

    @Property(seed = "1", tries = 3_000)
    void a_body_does_not_depend_on_how_its_bytes_arrive(
            @ForAll("chunkedBodies") byte[] bytes, @ForAll("partSizes") List<Integer> parts) {
        assertThat(decodeBody(bytes, parts)).isEqualTo(decodeBody(bytes, List.of(bytes.length)));
    }

    /** Pieces of messages in any order, so that the decoders get beyond the first line. */
    @Provide
    Arbitrary<byte[]> messages() {
        return joined(
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "GET /x HTTP/1.1\r\n",
                "Name: value\r\n",
                "Name : value\r\n",
                " folded\r\n",
                "Content-Length: 5\r\n",
                "Content-Length: -1\r\n",
                "Transfer-Encoding: chunked\r\n",
                "\r\n",
                "\n",
                "\r",
                ":",
                "\u0000",
                "\u00ff".repeat(300));
    }

    @Provide
    Arbitrary<byte[]> chunkedBodies() {
        return joined(
                "5\r\nabcde\r\n",
                "5;extension\r\nabcde\r\n",
                "0\r\n",
                "ffffffffffffffff\r\n",
                "7fffffffffffffff\r\n",
                "-1\r\n",
                "+5\r\n",
                "\r\n",
                "\n",
                "Trailer: value\r\n",
                "x".repeat(200),
                "\u0000",
                "1\r\nab\r\n");
    }

    @Provide
    Arbitrary<List<Integer>> partSizes() {
        return Arbitraries.integers().between(1, 40).list().ofMinSize(1).ofMaxSize(20);
    }

    private static Arbitrary<byte[]> joined(String... pieces) {
        return Arbitraries.of(pieces)
                .list()
                .ofMaxSize(30)
                .map(list -> String.join("", list).getBytes(StandardCharsets.ISO_8859_1));
    }

    private interface Parser {
        HttpHead parse(ByteQueue received, int maxBytes) throws HttpFormatException;
    }

    private static String parseHead(byte[] bytes, List<Integer> parts) {
        return parseHead(HttpHeadParser::parseRequest, bytes, parts)
                + parseHead(HttpHeadParser::parseResponse, bytes, parts);
    }

    private static String parseHead(Parser parser, byte[] bytes, List<Integer> parts) {
        ByteQueue received = new ByteQueue();
        int start = 0;
        for (int part = 0; start < bytes.length; part++) {
            start = append(received, bytes, start, parts.get(part % parts.size()));
            try {
                HttpHead head = parser.parse(received, MAX_HEAD_BYTES);
                if (head != null) {
                    return head.toString();
                }
            } catch (HttpFormatException e) {
                return "rejected";
            }
            assertThat(received.size()).isLessThanOrEqualTo(MAX_HEAD_BYTES);
        }
        return "incomplete";
    }

    private static String decodeBody(byte[] bytes, List<Integer> parts) {
        ByteQueue received = new ByteQueue();
        ByteArrayOutputStream decoded = new ByteArrayOutputStream();
        int start = 0;
        try {
            BodyDecoder decoder = BodyDecoder.ofResponse(
                    HttpHead.response(200, List.of(new HttpField("Transfer-Encoding", "chunked"))), false);
            for (int part = 0; start < bytes.length && !decoder.isDone(); part++) {
                start = append(received, bytes, start, parts.get(part % parts.size()));
                decoded.writeBytes(decoder.decode(received));
                assertThat(decoder.isDone() || received.size() <= MAX_LINE_BYTES)
                        .isTrue();
            }
            return decoder.isDone() + " " + decoded.toString(StandardCharsets.ISO_8859_1);
        } catch (HttpFormatException e) {
            return "rejected";
        }
    }

    private static int append(ByteQueue received, byte[] bytes, int start, int size) {
        int end = Math.min(bytes.length, start + size);
        received.add(ByteBuf.wrapForReading(Arrays.copyOfRange(bytes, start, end)));
        return end;
    }
}
