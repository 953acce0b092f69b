package org.bankturn.daemon.http;

import java.util.ArrayList;
import java.util.List;

/** Parses message heads from received bytes. */
final class HttpHeadParser {
    private static final int STATUS_DIGITS = 3;

    private HttpHeadParser() {}

    /**
     * Consumes and parses the next head of a request, which empty lines may precede.
     *
     * @param received the received bytes, not null
     * @param maxBytes the maximum size of a head
     * @return the head, null if it is still incomplete
     * @throws HttpFormatException if the bytes are not a valid head, or the head is too large
     */
    static HttpHead parseRequest(ByteQueue received, int maxBytes) throws HttpFormatException {
        List<String> lines = nextLines(received, maxBytes, true);
        return lines == null ? null : request(lines);
    }

    /**
     * Consumes and parses the next head of a response.
     *
     * @param received the received bytes, not null
     * @param maxBytes the maximum size of a head
     * @return the head, null if it is still incomplete
     * @throws HttpFormatException if the bytes are not a valid head, or the head is too large
     */
    static HttpHead parseResponse(ByteQueue received, int maxBytes) throws HttpFormatException {
        List<String> lines = nextLines(received, maxBytes, false);
        return lines == null ? null : response(lines);
    }

    /** Consumes the lines of the next head; returns null if it is still incomplete. */
    private static List<String> nextLines(ByteQueue received, int maxBytes, boolean afterEmptyLines)
            throws HttpFormatException {
        List<String> lines = new ArrayList<>();
        boolean terminatedByTwo = false;
        int position = 0;
        while (true) {
            int end = received.endOfLine(position);
            if (end < 0) {
                if (received.size() > maxBytes) {
                    throw new HttpFormatException("head of more than " + maxBytes + " bytes");
                }
                return null;
            }
            String line = received.text(position, end - 1);
            position = end;
            boolean endsWithReturn = line.endsWith("\r");
            line = endsWithReturn ? line.substring(0, line.length() - 1) : line;
            if (lines.isEmpty()) {
                terminatedByTwo = endsWithReturn;
            } else if (terminatedByTwo && !endsWithReturn) {
                // a stray line feed would otherwise end the head early, or make two fields of one
                throw new HttpFormatException("line feed in a field: " + MessageSyntax.quote(line));
            }
            if (!line.isEmpty()) {
                lines.add(line);
            } else if (!lines.isEmpty()) {
                break;
            } else if (!afterEmptyLines) {
                throw new HttpFormatException("empty line instead of a status line");
            }
        }
        received.skip(position);
        return lines;
    }

    private static HttpHead request(List<String> lines) throws HttpFormatException {
        String[] parts = lines.get(0).split(" ", -1);
        boolean valid = parts.length == 3
                && MessageSyntax.isToken(parts[0])
                && !parts[1].isEmpty()
                && MessageSyntax.isFieldContent(parts[1])
                && parts[1].indexOf('\t') < 0
                && MessageSyntax.isVersion(parts[2]);
        if (!valid) {
            throw new HttpFormatException("invalid request line: " + MessageSyntax.quote(lines.get(0)));
        }
        return new HttpHead(parts[0], parts[1], parts[2], fields(lines));
    }

    private static HttpHead response(List<String> lines) throws HttpFormatException {
        String[] parts = lines.get(0).split(" ", 3);
        String reason = parts.length == 3 ? parts[2] : "";
        boolean valid = parts.length >= 2
                && MessageSyntax.isVersion(parts[0])
                && isStatus(parts[1])
                && MessageSyntax.isFieldContent(reason);
        if (!valid) {
            throw new HttpFormatException("invalid status line: " + MessageSyntax.quote(lines.get(0)));
        }
        return new HttpHead(parts[0], parts[1], reason, fields(lines));
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && MessageSyntax.isNumber(text, 10)
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5';
    }

    private static List<HttpField> fields(List<String> lines) throws HttpFormatException {
        List<HttpField> fields = new ArrayList<>(lines.size());
        for (String line : lines.subList(1, lines.size())) {
            fields.add(MessageSyntax.parseField(line));
        }
        return fields;
    }
}
