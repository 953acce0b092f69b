package org.bankturn.daemon.http;

import java.io.ByteArrayOutputStream;
import java.util.Locale;

/**
 * Decodes the body of one message, framed by Content-Length, chunked coding or the end of the connection.
 *
 * <p>BodyDecoder is mutable and confined to one thread.
 */
final class BodyDecoder {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_TRAILER_BYTES = 16 << 10;
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
        return of(head, false);
    }

    /** Returns a decoder for the body of a response; {@code noBody} is true if the request method precludes one. */
    static BodyDecoder ofResponse(HttpHead head, boolean noBody) throws HttpFormatException {
        int status = head.status();
        if (noBody || status == 204 || status == 304) {
            return new BodyDecoder(State.DONE, 0);
        }
        return of(head, true);
    }

    private static BodyDecoder of(HttpHead head, boolean response) throws HttpFormatException {
        if (head.field("transfer-encoding").isPresent()) {
            String coding = head.field("transfer-encoding").get().toLowerCase(Locale.ROOT);
            if (!coding.equals("chunked")
                    || (!response && head.field("content-length").isPresent())) {
                throw new HttpFormatException("unsupported Transfer-Encoding: " + coding);
            }
            return new BodyDecoder(State.CHUNK_SIZE, 0);
        }
        if (head.field("content-length").isPresent()) {
            long length = parseLength(head.field("content-length").get(), 10);
            long distinctLengths = head.fields().stream()
                    .filter(field -> field.is("content-length"))
                    .map(HttpField::value)
                    .distinct()
                    .count();
            if (distinctLengths > 1) {
                throw new HttpFormatException("conflicting Content-Length values");
            }
            return new BodyDecoder(length == 0 ? State.DONE : State.FIXED_LENGTH, length);
        }
        return new BodyDecoder(response ? State.UNTIL_CLOSE : State.DONE, 0);
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
            String line = received.text(0, size).trim();
            received.skip(size);
            countTrailer(size);
            decodeLine(line);
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

    private void decodeLine(String line) throws HttpFormatException {
        if (state == State.CHUNK_SIZE) {
            int end = line.indexOf(';');
            remaining = parseLength((end < 0 ? line : line.substring(0, end)).trim(), 16);
            state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
        } else if (state == State.CHUNK_END) {
            if (!line.isEmpty()) {
                throw new HttpFormatException("chunk data longer than its declared size");
            }
            state = State.CHUNK_SIZE;
        } else if (line.isEmpty()) {
            state = State.DONE;
        }
    }

    private static long parseLength(String text, int radix) throws HttpFormatException {
        try {
            if (text.isEmpty() || text.startsWith("+") || text.startsWith("-")) {
                throw new HttpFormatException("invalid length: " + text);
            }
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new HttpFormatException("invalid length: " + text);
        }
    }
}
