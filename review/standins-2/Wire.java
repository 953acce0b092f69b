import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 as the stand-ins speak it. */
final class Wire {
    private Wire() {}

    /** A head: its first line, and its fields with names in lower case. */
    static final class Head {
        final String line;
        final Map<String, String> fields = new LinkedHashMap<>();

        Head(String line) {
            this.line = line;
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** An answer; {@code complete} is false if its end was not seen. */
    static final class Answer {
        final int status;
        final Head head;
        final byte[] body;
        final boolean complete;

        Answer(int status, Head head, byte[] body, boolean complete) {
            this.status = status;
            this.head = head;
            this.body = body;
            this.complete = complete;
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a head; returns null if the connection ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        while (first != null && first.isEmpty()) {
            first = readLine(in);
        }
        if (first == null) {
            return null;
        }
        Head head = new Head(first);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                head.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads the body of a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        if (head.field("content-length") != null) {
            return readExactly(in, Integer.parseInt(head.field("content-length")));
        }
        return "chunked".equalsIgnoreCase(head.field("transfer-encoding")) ? readChunks(in) : new byte[0];
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut");
        }
        return bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("chunk cut");
            }
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size > 0) {
                body.write(readExactly(in, size));
            }
            String end = readLine(in);
            if (end == null) {
                throw new EOFException("chunk cut");
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    /** Reads an answer; throws an exception if there is none or it is cut. */
    static Answer readAnswer(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("no answer");
        }
        String[] parts = head.line.split(" ", 3);
        if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
            throw new IOException("not an answer: " + head.line);
        }
        int status = Integer.parseInt(parts[1]);
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            return new Answer(status, head, readChunks(in), true);
        }
        String length = head.field("content-length");
        byte[] body = length != null ? readExactly(in, Integer.parseInt(length)) : in.readAllBytes();
        return new Answer(status, head, body, true);
    }

    /** Sends a call on a connection of its own. */
    static Answer call(InetSocketAddress to, String method, String path, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + to.getHostString() + "\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.ISO_8859_1), content));
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static byte[] concat(byte[] first, byte[] second) {
        byte[] all = new byte[first.length + second.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
