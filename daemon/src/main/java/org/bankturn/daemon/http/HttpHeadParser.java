package org.bankturn.daemon.http;

import java.util.ArrayList;
import java.util.List;

/** Takes heads out of received bytes. */
final class HttpHeadParser {
    private HttpHeadParser() {}

    /**
     * Takes the next head.
     *
     * @param received what has come, not null
     * @param mostBytes the largest head
     * @return the head, null if it is not whole yet
     * @throws HttpFormatException if the bytes begin no head, or a larger one
     */
    static HttpHead parseNext(ByteQueue received, int mostBytes) throws HttpFormatException {
        List<String> lines = new ArrayList<>();
        int position = 0;
        while (true) {
            int size = received.endOfLine(position);
            if (size < 0) {
                if (received.size() > mostBytes) {
                    throw new HttpFormatException("head of more than " + mostBytes + " bytes");
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
        int one = start.indexOf(' ');
        int two = one < 0 ? -1 : start.indexOf(' ', one + 1);
        boolean answer = start.startsWith("HTTP/1.");
        if (one <= 0 || (two < 0 && !answer)) {
            throw new HttpFormatException("no start line: " + start);
        }
        String second = two < 0 ? start.substring(one + 1) : start.substring(one + 1, two);
        String third = two < 0 ? "" : start.substring(two + 1);
        if (!answer && !third.startsWith("HTTP/1.")) {
            throw new HttpFormatException("unknown protocol: " + start);
        }
        List<HttpField> fields = new ArrayList<>(lines.size());
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            if (colon <= 0 || line.charAt(0) == ' ' || line.charAt(colon - 1) == ' ') {
                throw new HttpFormatException("no header field: " + line);
            }
            fields.add(new HttpField(
                    line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        return new HttpHead(start.substring(0, one), second, third, fields);
    }
}
