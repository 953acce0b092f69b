import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A minimal HTTP/1.1 client. */
final class Http {
    private Http() {}

    /** What a client got: the body is complete only if the answer's framing says so. */
    static final class Answer {
        int status;
        String head = "";
        byte[] body = new byte[0];
        boolean complete;
        String end = "";

        String field(String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).trim();
                }
            }
            return null;
        }
    }

    static byte[] request(String method, String target, String fields, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + target + " HTTP/1.1\r\n" + fields
                + (content.length > 0 || !method.equals("GET") ? "Content-Length: " + content.length + "\r\n" : "")
                + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(content);
        return bytes.toByteArray();
    }

    /** Sends a request on a new connection and reads the answer until it is complete, the connection ends or time is up. */
    static Answer call(String host, int port, byte[] request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request);
            return read(socket.getInputStream());
        }
    }

    static Answer read(InputStream input) throws IOException {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            answer.head = head(input);
            answer.status = Integer.parseInt(answer.head.split(" ", 3)[1]);
            String length = answer.field("Content-Length");
            String coding = answer.field("Transfer-Encoding");
            if (coding != null && coding.toLowerCase(Locale.ROOT).equals("chunked")) {
                answer.complete = readChunks(input, body);
            } else if (length != null) {
                answer.complete = copy(input, body, Integer.parseInt(length));
            } else {
                copy(input, body, Integer.MAX_VALUE);
                answer.complete = true;
            }
            answer.end = answer.complete ? "complete" : "closed early";
        } catch (SocketTimeoutException e) {
            answer.end = "no more bytes in time";
        } catch (IOException e) {
            answer.end = "connection failed: " + e.getMessage();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private static String head(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("closed before the answer");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static boolean copy(InputStream input, ByteArrayOutputStream body, int length) throws IOException {
        for (int count = 0; count < length; count++) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            body.write(next);
        }
        return true;
    }

    private static boolean readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            StringBuilder line = new StringBuilder();
            int next;
            while ((next = input.read()) != '\n') {
                if (next < 0) {
                    return false;
                }
                line.append((char) next);
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            if (!copy(input, body, size) || input.read() < 0 || input.read() < 0) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
}
