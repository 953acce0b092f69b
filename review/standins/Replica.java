import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica of a plain service, as the platform's pages describe it. Its answers have no length and end with their
 * connection. It writes the first half of an answer at once and the second half after the time that the path names.
 *
 * <p>Arguments: its id, its service, its address, and the addresses of the control processes. The command {@code drain}
 * on its standard input makes it say that it leaves; {@code end} makes it deregister and end once its answers are out.
 */
final class Replica {
    private static final int BODY_BYTES = 800;

    private final String id;
    private final String service;
    private final String ip;
    private final List<String> controls;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean draining;
    private final AtomicLong running = new AtomicLong();

    private Replica(String id, String service, String ip, List<String> controls) {
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.controls = controls;
    }

    public static void main(String[] arguments) throws IOException, InterruptedException {
        List<String> words = List.of(arguments);
        new Replica(words.get(0), words.get(1), words.get(2), words.subList(3, words.size())).run();
    }

    /** The whole body of the answer to a request. */
    static byte[] body(String requestId, boolean events) {
        StringBuilder text = new StringBuilder();
        for (int number = 1; text.length() < BODY_BYTES; number++) {
            text.append(events ? "id: " + number + "\ndata: " : "part " + number + " of ")
                    .append(requestId)
                    .append(events ? "\n\n" : "\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void run() throws IOException, InterruptedException {
        ServerSocket server = new ServerSocket(Deployment.CALL_PORT, 100, InetAddress.getByName(ip));
        background(this::commands);
        background(() -> {
            while (true) {
                heartbeat();
                Thread.sleep(1_200);
            }
        });
        while (true) {
            Socket socket = server.accept();
            background(() -> serve(socket));
        }
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private static void background(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException | InterruptedException e) {
                // the connection has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void commands() throws IOException, InterruptedException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line;
        while ((line = lines.readLine()) != null) {
            if (line.equals("drain")) {
                draining = true;
                System.out.println("says draining, acknowledged: " + heartbeat());
            } else if (line.equals("end")) {
                while (running.get() > 0) {
                    Thread.sleep(20);
                }
                System.out.println("deregisters, acknowledged: " + tell("/instances/" + id + "/deregister", "{}"));
                System.exit(0);
            }
        }
    }

    private boolean heartbeat() {
        return tell(
                "/instances/" + id + "/heartbeat",
                "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + Deployment.CALL_PORT
                        + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":8,\"state\":\""
                        + (draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"seq_no\":"
                        + sequence.incrementAndGet() + "}");
    }

    private boolean tell(String path, String body) {
        for (String control : controls) {
            try {
                if (Http.call(control, Deployment.CALL_PORT, Http.request("POST", path, "Host: control\r\n", body), 1_000)
                                .status
                        == 200) {
                    return true;
                }
            } catch (IOException e) {
                // the next one is asked
            }
        }
        return false;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            while (serveRequest(socket.getInputStream(), socket.getOutputStream())) {
                // the connection carries the next request
            }
        }
    }

    private boolean serveRequest(InputStream input, OutputStream output) throws IOException, InterruptedException {
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
        String path = request.head.split(" ", 3)[1];
        String expected = request.field("Bankturn-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected\r\nBankturn-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (path.equals("/health")) {
            write(output, "HTTP/1.1 " + (draining ? 503 : 200) + " Health\r\nBankturn-Instance-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        running.incrementAndGet();
        try {
            answer(request.field("Bankturn-Request-Id"), path, output);
        } finally {
            running.decrementAndGet();
        }
        return false;
    }

    private void answer(String requestId, String path, OutputStream output) throws IOException, InterruptedException {
        boolean events = path.startsWith("/stream/");
        byte[] body = body(requestId, events);
        int half = events ? new String(body, StandardCharsets.UTF_8).indexOf("\n\n", body.length / 2) + 2 : body.length / 2;
        System.out.println("runs " + requestId + " " + path);
        write(output, "HTTP/1.1 200 OK\r\nBankturn-Request-Id: " + requestId + "\r\nBankturn-Response-Seal: seal-" + requestId
                + "\r\n" + (events ? "Content-Type: text/event-stream\r\n" : "") + "Connection: close\r\n\r\n");
        output.write(body, 0, half);
        output.flush();
        System.out.println("wrote " + half + " of " + body.length + " bytes to " + requestId);
        Thread.sleep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        output.write(body, half, body.length - half);
        output.flush();
        System.out.println("wrote all " + body.length + " bytes to " + requestId);
    }

    private static void write(OutputStream output, String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        output.write(bytes.toByteArray());
        output.flush();
    }
}
