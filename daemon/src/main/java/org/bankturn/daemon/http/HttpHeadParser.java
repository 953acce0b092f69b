package org.bankturn.daemon.http;

import java.util.ArrayList;
import java.util.List;

/** Parses message heads from received bytes. */
final class HttpHeadParser {
    private HttpHeadParser() {}

    /**
     * Consumes and parses the next head.
     *
     * @param received the received bytes, not null
     * @param maxBytes the maximum size of a head
     * @return the head, null if it is still incomplete
     * @throws HttpFormatException if the bytes are not a valid head, or the head is too large
     */
    static HttpHead parseNext(ByteQueue received, int maxBytes) throws HttpFormatException {
        List<String> lines = new ArrayList<>();
        int position = 0;
        while (true) {
            int size = received.endOfLine(position);
            if (size < 0) {
                if (received.size() > maxBytes) {
                    throw new HttpFormatException("head of more than " + maxBytes + " bytes");
                }
                return null;
            }
            String line = received.text(position, size - 1);
            line = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            position = size;
            if (line.isEmpty()) {
                if (!lines.isEmpty()) {
                    break;
                }
                continue;
            }
            lines.add(line);
        }
        received.skip(position);
        return parseLines(lines);
    }

    private static HttpHead parseLines(List<String> lines) throws HttpFormatException {
        String start = lines.get(0);
        int firstSpace = start.indexOf(' ');
        int secondSpace = firstSpace < 0 ? -1 : start.indexOf(' ', firstSpace + 1);
        boolean response = start.startsWith("HTTP/1.");
        if (firstSpace <= 0 || (secondSpace < 0 && !response)) {
            throw new HttpFormatException("invalid start line: " + start);
        }
        String second =
                secondSpace < 0 ? start.substring(firstSpace + 1) : start.substring(firstSpace + 1, secondSpace);
        String third = secondSpace < 0 ? "" : start.substring(secondSpace + 1);
        if (!response && !third.startsWith("HTTP/1.")) {
            throw new HttpFormatException("unsupported protocol version: " + start);
        }
        List<HttpField> fields = new ArrayList<>(lines.size());
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            if (colon <= 0 || line.charAt(0) == ' ' || line.charAt(colon - 1) == ' ') {
                throw new HttpFormatException("invalid header field: " + line);
            }
            fields.add(new HttpField(
                    line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        return new HttpHead(start.substring(0, firstSpace), second, third, fields);
    }
}
