package org.bankturn.daemon.http;

import java.io.ByteArrayOutputStream;
import java.util.List;

/**
 * Decodes the body of one message, framed by Content-Length, chunked coding or the end of the connection.
 *
 * <p>BodyDecoder is mutable and confined to one thread.
 */
final class BodyDecoder {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_TRAILER_BYTES = 16 << 10;
    private static final String TERMINATOR = "\r\n";
    private static final byte[] EMPTY = new byte[0];

    private enum State {
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    private State state;
    private long remaining;
    private int trailerBytes;

    /** Returns a decoder for the body of a request. */
    static BodyDecoder ofRequest(HttpHead head) throws HttpFormatException {
        return of(head, State.DONE);
    }

    /** Returns a decoder for the body of a response; {@code noBody} is true if the request method precludes one. */
    static BodyDecoder ofResponse(HttpHead head, boolean noBody) throws HttpFormatException {
        int status = head.status();
        BodyDecoder framed = of(head, State.UNTIL_CLOSE);
        return noBody || status == 204 || status == 304 ? new BodyDecoder(State.DONE, 0) : framed;
    }

    /** Returns the decoder that the head calls for, in the given state if the head does not delimit the body. */
    private static BodyDecoder of(HttpHead head, State undelimited) throws HttpFormatException {
        List<String> codings = head.values("transfer-encoding");
        List<String> lengths = head.values("content-length");
        if (codings.size() + lengths.size() > 1) {
            throw new HttpFormatException("several fields that delimit the body: " + codings.size()
                    + " Transfer-Encoding, " + lengths.size() + " Content-Length");
        }
        if (!codings.isEmpty()) {
            if (!codings.get(0).equalsIgnoreCase("chunked")) {
                throw new HttpFormatException("unsupported Transfer-Encoding: " + MessageSyntax.quote(codings.get(0)));
            }
            return new BodyDecoder(State.CHUNK_SIZE, 0);
        }
        if (!lengths.isEmpty()) {
            long length = parseLength(lengths.get(0), 10);
            return new BodyDecoder(length == 0 ? State.DONE : State.FIXED_LENGTH, length);
        }
        return new BodyDecoder(undelimited, 0);
    }

    private BodyDecoder(State state, long left) {
        this.state = state;
        this.remaining = left;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** Returns true if the end of the connection delimits the body. */
    boolean endsAtClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Returns the number of bytes still expected by Content-Length, -1 if the body is not framed by it. */
    long remainingLength() {
        return state == State.FIXED_LENGTH ? remaining : -1;
    }

    /** Consumes the received bytes that belong to the body and returns their content. */
    byte[] decode(ByteQueue received) throws HttpFormatException {
        if (state == State.UNTIL_CLOSE) {
            return received.take(received.size());
        }
        if (state == State.FIXED_LENGTH) {
            byte[] part = received.take((int) Math.min(remaining, received.size()));
            remaining -= part.length;
            state = remaining == 0 ? State.DONE : state;
            return part;
        }
        return state == State.DONE ? EMPTY : decodeChunks(received);
    }

    private byte[] decodeChunks(ByteQueue received) throws HttpFormatException {
        ByteArrayOutputStream decoded = new ByteArrayOutputStream();
        while (state != State.DONE) {
            if (state == State.CHUNK_DATA) {
                if (received.size() == 0) {
                    break;
                }
                byte[] part = received.take((int) Math.min(remaining, received.size()));
                decoded.writeBytes(part);
                remaining -= part.length;
                state = remaining == 0 ? State.CHUNK_END : state;
                continue;
            }
            int size = received.endOfLine(0);
            if (size < 0) {
                if (received.size() > MAX_LINE_BYTES) {
                    throw new HttpFormatException(
                            "chunk header or trailer line of more than " + MAX_LINE_BYTES + " bytes");
                }
                break;
            }
            String line = received.text(0, size);
            received.skip(size);
            countTrailer(size);
            decodeLine(withoutTerminator(line));
        }
        return decoded.toByteArray();
    }

    private void countTrailer(int size) throws HttpFormatException {
        if (state == State.TRAILER) {
            trailerBytes += size;
        }
        if (trailerBytes > MAX_TRAILER_BYTES) {
            throw new HttpFormatException("trailers of more than " + MAX_TRAILER_BYTES + " bytes");
        }
    }

    private static String withoutTerminator(String line) throws HttpFormatException {
        if (!line.endsWith(TERMINATOR)) {
            throw new HttpFormatException("line feed in a chunk header or trailer: " + MessageSyntax.quote(line));
        }
        return line.substring(0, line.length() - TERMINATOR.length());
    }

    private void decodeLine(String line) throws HttpFormatException {
        if (state == State.CHUNK_SIZE) {
            remaining = parseChunkSize(line);
            state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
        } else if (state == State.CHUNK_END) {
            if (!line.isEmpty()) {
                throw new HttpFormatException("chunk data longer than its declared size");
            }
            state = State.CHUNK_SIZE;
        } else if (line.isEmpty()) {
            state = State.DONE;
        } else {
            // trailers are not passed on, but bytes that are no field show that the body is not what was sent
            HttpField unused = MessageSyntax.parseField(line);
        }
    }

    private static long parseChunkSize(String line) throws HttpFormatException {
        if (!MessageSyntax.isFieldContent(line)) {
            throw new HttpFormatException("control character in a chunk header: " + MessageSyntax.quote(line));
        }
        int extension = line.indexOf(';');
        return parseLength((extension < 0 ? line : line.substring(0, extension)).stripTrailing(), 16);
    }

    private static long parseLength(String text, int radix) throws HttpFormatException {
        if (!MessageSyntax.isNumber(text, radix)) {
            throw new HttpFormatException("invalid length: " + MessageSyntax.quote(text));
        }
        try {
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new HttpFormatException("length too large: " + MessageSyntax.quote(text));
        }
    }
}
