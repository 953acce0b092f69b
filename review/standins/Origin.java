import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;

/** The origin of weights. Argument: its address. */
final class Origin {
    static final int PORT = 8006;
    static final int PIECES = 96;
    static final int PIECE_BYTES = 24_576;

    private Origin() {}

    public static void main(String[] arguments) throws IOException {
        ServerSocket server = new ServerSocket(PORT, 200, InetAddress.getByName(arguments[0]));
        while (true) {
            Socket socket = server.accept();
            Thread thread = new Thread(() -> {
                try (socket) {
                    while (serve(socket.getInputStream(), socket.getOutputStream())) {
                        // the connection carries the next request
                    }
                } catch (IOException e) {
                    // the connection has ended
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static byte[] piece(int version, int number) {
        byte[] bytes = new byte[PIECE_BYTES];
        new Random(version * 1_000L + number).nextBytes(bytes);
        return bytes;
    }

    private static String manifest(int version) {
        StringBuilder digests = new StringBuilder();
        for (int number = 0; number < PIECES; number++) {
            try {
                byte[] digest = MessageDigest.getInstance("SHA-256").digest(piece(version, number));
                digests.append(number == 0 ? "" : ",").append('"').append(HexFormat.of().formatHex(digest)).append('"');
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }
        return "{\"model\":\"" + Engine.MODEL + "\",\"version\":" + version + ",\"chunk_bytes\":" + PIECE_BYTES
                + ",\"layers\":" + Engine.LAYERS + ",\"digests\":[" + digests + "]}";
    }

    private static boolean serve(InputStream input, OutputStream output) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        Http.Answer request = new Http.Answer();
        request.head = head.toString();
        String length = request.field("Content-Length");
        input.skipNBytes(length == null ? 0 : Long.parseLong(length));
        String target = request.head.split(" ", 3)[1];
        int version = number(target, "version=");
        byte[] body = target.startsWith("/manifest/")
                ? manifest(version).getBytes(StandardCharsets.UTF_8)
                : piece(version, number(target, "num="));
        output.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
        return true;
    }

    private static int number(String target, String name) {
        String text = target.substring(target.indexOf(name) + name.length());
        int end = text.indexOf('&');
        return Integer.parseInt(end < 0 ? text : text.substring(0, end));
    }
}
