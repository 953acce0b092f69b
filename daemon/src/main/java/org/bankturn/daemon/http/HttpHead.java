package org.bankturn.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The start line and header fields of a message.
 *
 * <p>HttpHead is immutable and thread-safe.
 *
 * @param first the method of a request, the protocol version of a response, not null
 * @param second the request target or the status code, not null
 * @param third the protocol version of a request, the reason phrase of a response, not null
 * @param fields the header fields in order, not null
 */
public record HttpHead(String first, String second, String third, List<HttpField> fields) {
    private static final Set<String> CONNECTION_FIELDS = Set.of(
            "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection", "expect");
    private static final String VERSION = "HTTP/1.1";

    /** Makes a defensive copy of the fields. */
    public HttpHead {
        fields = List.copyOf(fields);
    }

    /** Returns the head of a request, not null. */
    public static HttpHead request(String method, String target, List<HttpField> fields) {
        return new HttpHead(method, target, VERSION, fields);
    }

    /** Returns the head of a response, not null. */
    public static HttpHead response(int status, List<HttpField> fields) {
        return new HttpHead(VERSION, Integer.toString(status), reason(status), fields);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 307 -> "Temporary Redirect";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 404 -> "Not Found";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }

    /** Returns the status code of a response, -1 if it is not a number. */
    public int status() {
        try {
            return Integer.parseInt(second);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Returns the first value of a field, empty if it is absent. */
    public Optional<String> field(String name) {
        for (HttpField field : fields) {
            if (field.is(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /** Returns every value of a field, in order, not null. */
    public List<String> values(String name) {
        return fields.stream()
                .filter(field -> field.is(name))
                .map(HttpField::value)
                .toList();
    }

    /** Returns true if a value of the field contains the given lower-case text, ignoring case. */
    public boolean fieldContains(String name, String text) {
        for (HttpField field : fields) {
            if (field.is(name) && field.value().toLowerCase(Locale.ROOT).contains(text)) {
                return true;
            }
        }
        return false;
    }

    /** Returns this head without hop-by-hop fields, including those named in Connection. */
    public HttpHead withoutConnectionFields() {
        Set<String> removed = new java.util.HashSet<>(CONNECTION_FIELDS);
        for (HttpField field : fields) {
            if (field.is("connection")) {
                for (String name : field.value().split(",", -1)) {
                    removed.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return without(removed);
    }

    /** Returns this head without the fields of the given lower-case names. */
    public HttpHead without(Set<String> names) {
        List<HttpField> remaining = new ArrayList<>();
        for (HttpField field : fields) {
            if (!names.contains(field.name().toLowerCase(Locale.ROOT))) {
                remaining.add(field);
            }
        }
        return new HttpHead(first, second, third, remaining);
    }

    /** Returns this head with one more field. */
    public HttpHead with(String name, String value) {
        List<HttpField> extended = new ArrayList<>(fields);
        extended.add(new HttpField(name, value));
        return new HttpHead(first, second, third, extended);
    }

    /** Encodes this head, including the terminating empty line. */
    public byte[] encode() {
        StringBuilder text = new StringBuilder(256);
        text.append(first).append(' ').append(second).append(' ').append(third).append("\r\n");
        for (HttpField field : fields) {
            text.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        text.append("\r\n");
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
