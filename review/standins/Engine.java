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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model replica, as the platform's pages describe it, with the figures of a step and of reading from the
 * configuration. A request starts with its first event.
 *
 * <p>Arguments: its id, its service, its address, its hall, and the addresses of the control processes. The command
 * {@code slow X TOKENS} on its standard input makes it work X times as long from the moment at which the next request
 * of TOKENS or more arrives.
 */
final class Engine {
    static final int PORT = 8001;
    static final String MODEL = "model-1";
    static final int LAYERS = 16;
    private static final double STEP_MILLIS = 9.27;
    private static final double TOKENS_PER_MILLI = 20.7;
    private static final int STRIDE = 5;
    private static final double WARM_MILLIS = 300;

    private final String id;
    private final String service;
    private final String ip;
    private final String hall;
    private final List<String> controls;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger orders = new AtomicInteger();
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private volatile int version = 1;
    private volatile boolean busy;
    private volatile double pace = 1;
    private volatile double armedPace;
    private volatile int armedTokens;

    private Engine(String id, String service, String ip, String hall, List<String> controls) {
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.hall = hall;
        this.controls = controls;
    }

    public static void main(String[] arguments) throws IOException {
        List<String> words = List.of(arguments);
        new Engine(words.get(0), words.get(1), words.get(2), words.get(3), words.subList(4, words.size())).run();
    }

    private void run() throws IOException {
        ServerSocket server = new ServerSocket(PORT, 200, InetAddress.getByName(ip));
        background(this::commands);
        background(() -> {
            while (true) {
                heartbeat();
                Thread.sleep(1_200);
            }
        });
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            background(() -> {
                try (socket) {
                    while (serve(socket.getInputStream(), socket.getOutputStream())) {
                        // the connection carries the next request
                    }
                }
            });
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

    private void commands() throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line;
        while ((line = lines.readLine()) != null) {
            String[] words = line.split(" ");
            if (words[0].equals("slow")) {
                armedTokens = Integer.parseInt(words[2]);
                armedPace = Double.parseDouble(words[1]);
            }
        }
    }

    private String models() {
        return "\"phase\":\"unified\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":" + version
                + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"target_version\":" + LAYERS + ",\"version\":" + version
                + "}";
    }

    private void heartbeat() {
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + PORT + "\",\"zone\":\"" + hall
                + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0," + models()
                + ",\"seq_no\":" + sequence.incrementAndGet() + "}";
        for (String control : controls) {
            try {
                byte[] request = Http.request("POST", "/instances/" + id + "/heartbeat", "Host: control\r\n", body);
                if (Http.call(control, Deployment.CALL_PORT, request, 1_000).status == 200) {
                    return;
                }
            } catch (IOException e) {
                // the next one is asked
            }
        }
    }

    private boolean serve(InputStream input, OutputStream output) throws IOException, InterruptedException {
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
        byte[] body = input.readNBytes(length == null ? 0 : Integer.parseInt(length));
        String[] start = request.head.split(" ", 3);
        String expected = request.field("Bankturn-Expect-Instance");
        if (expected != null && !expected.isEmpty() && !expected.equals(id)) {
            respond(output, 421, "Bankturn-Not-Executed: 1\r\nBankturn-Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (start[1].equals("/report")) {
            String report = "{" + models() + ",\"busy\":" + busy + ",\"seq_no\":" + orders.get() + ",\"queued\":"
                    + queued.get() + ",\"active\":" + active.get()
                    + ",\"kv_used\":1000,\"kv_total\":317000,\"handles\":0,\"pace\":" + pace + "}";
            respond(output, 200, "Content-Type: application/json\r\n", report.getBytes(StandardCharsets.UTF_8));
        } else if (start[1].equals("/health")) {
            respond(output, 200, "Bankturn-Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (start[1].startsWith("/stage-put/")) {
            staged.put(piece(start[1]), body);
            respond(output, 200, "", new byte[0]);
        } else if (start[1].startsWith("/stage-get/")) {
            byte[] piece = staged.get(piece(start[1]));
            respond(output, piece == null ? 404 : 200, "", piece == null ? new byte[0] : piece);
        } else if (start[1].equals("/order")) {
            respond(output, order(new String(body, StandardCharsets.UTF_8)), "", new byte[0]);
        } else {
            generate(request, output);
            return false;
        }
        return true;
    }

    private static int piece(String target) {
        String number = target.substring(target.indexOf("num=") + 4);
        int end = number.indexOf('&');
        return Integer.parseInt(end < 0 ? number : number.substring(0, end));
    }

    private synchronized int order(String body) {
        int wanted = Integer.parseInt(body.replaceAll("(?s).*\"version\"\\s*:\\s*(\\d+).*", "$1"));
        int revision = Integer.parseInt(body.replaceAll("(?s).*\"expected_rev\"\\s*:\\s*(\\d+).*", "$1"));
        if (wanted == version) {
            return 200;
        }
        if (busy || revision != orders.get()) {
            return 409;
        }
        orders.incrementAndGet();
        busy = true;
        background(() -> {
            Thread.sleep((long) WARM_MILLIS);
            version = wanted;
            busy = false;
            System.out.println("holds version " + wanted);
            heartbeat();
        });
        return 202;
    }

    /** Reads the prompt between the steps of the requests that run, then writes one event in each pass. */
    private void generate(Http.Answer request, OutputStream output) throws IOException, InterruptedException {
        String requestId = request.field("Bankturn-Request-Id");
        String[] usage = request.field("Bankturn-Token-Usage").split(",");
        int prompt = Integer.parseInt(usage[0]);
        int events = Integer.parseInt(usage[1]) / STRIDE;
        if (armedPace > 0 && prompt >= armedTokens) {
            pace = armedPace;
            armedPace = 0;
            System.out.println("turns slow, " + pace + " times as long, at " + System.currentTimeMillis());
        }
        System.out.println("gets " + requestId + " at " + System.currentTimeMillis());
        double others = active.get() > 0 ? STRIDE * STEP_MILLIS : 0;
        queued.incrementAndGet();
        try {
            work(prompt / TOKENS_PER_MILLI + others + STEP_MILLIS);
        } finally {
            queued.decrementAndGet();
        }
        int startedOn = version;
        active.incrementAndGet();
        try {
            output.write(("HTTP/1.1 200 OK\r\nBankturn-Request-Id: " + requestId + "\r\nBankturn-Response-Seal: seal-"
                            + requestId + "\r\nBankturn-Weight-Versions: " + startedOn
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            + "Connection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int number = 1; number <= events; number++) {
                if (number == 1) {
                    event(output, number);
                    System.out.println("starts " + requestId + " on version " + startedOn + " at "
                            + System.currentTimeMillis());
                } else {
                    work(STRIDE * STEP_MILLIS);
                    event(output, number);
                }
            }
            output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        } finally {
            active.decrementAndGet();
        }
    }

    private static void event(OutputStream output, int number) throws IOException {
        String event = "id: " + number + "\ndata: tokens\n\n";
        output.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Works for a time at the usual pace, longer while the engine is slow. */
    private void work(double millis) throws InterruptedException {
        double left = millis;
        long last = System.nanoTime();
        while (left > 0) {
            Thread.sleep(Math.max(1, Math.min(5, (long) (left * pace))));
            long now = System.nanoTime();
            left -= (now - last) / 1e6 / pace;
            last = now;
        }
    }

    private static void respond(OutputStream output, int status, String fields, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("HTTP/1.1 " + status + " Answer\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        output.write(bytes.toByteArray());
        output.flush();
    }
}
