package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A seeded soak: a gateway under load is stopped as planned while its clients go on using their connections. Every request
 * gets an answer, those that are refused have not run, and none that may not be repeated runs twice.
 *
 * <p>The system property {@code bankturn.soak.seeds} sets the number of seeds, {@code bankturn.soak.first} the first one.
 */
@Timeout(60)
class PlannedStopSoakTest extends GatewayFixture {
    private static final long GRACE_MILLIS = 3_000;
    private static final int TARGETS = 3;
    private static final int CLIENTS = 24;

    /** Until then the gateway closes no unused connections. */
    private static final long DRAINED_MILLIS = 1_800;

    /** Shorter than the time for which an unused connection is kept. */
    private static final long MAX_THINK_MILLIS = 200;

    /** When balancers have noticed that the gateway is not ready, and open no connections to it. */
    private static final long BALANCED_MILLIS = 1_000;

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private static final List<Behaviour> BEHAVIOURS = List.of(Behaviour.values());
    private static final List<RequestKind> KINDS = List.of(RequestKind.values());

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private final CountDownLatch testEnd = new CountDownLatch(1);
    private volatile long stopMillis = Long.MAX_VALUE;
    private volatile boolean gone;

    @Override
    long stopTimeoutMillis() {
        return GRACE_MILLIS;
    }

    static LongStream seeds() {
        long first = Long.getLong("bankturn.soak.first", 1);
        return LongStream.range(first, first + Long.getLong("bankturn.soak.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void every_request_to_a_gateway_that_is_stopped_is_answered_truthfully(long seed) throws Exception {
        Random random = new Random(seed);
        List<ScriptedTarget> started = new ArrayList<>();
        for (int number = 0; number < TARGETS; number++) {
            started.add(register(new ScriptedTarget((arrival, id, socket) -> answer(seed, id, socket))));
        }
        long timeoutSeed = random.nextLong();
        publishTargets(1, new Random(timeoutSeed), started);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            Behaviour behaviour = BEHAVIOURS.get(number % BEHAVIOURS.size());
            long clientSeed = random.nextLong();
            Thread client = new Thread(() -> run(behaviour, new Random(clientSeed)));
            client.start();
            clients.add(client);
        }
        sleep(random.nextInt(800));
        stopMillis = clock.millis();
        CompletableFuture<Void> stopped = stopGateway();
        for (int disturbance = 0; disturbance < 3; disturbance++) {
            sleep(random.nextInt(700));
            if (random.nextBoolean()) {
                CompletableFuture<Void> unused = stopGateway();
            } else {
                publishTargets(2 + disturbance, new Random(timeoutSeed), started);
            }
        }
        stopped.join();
        gone = true;
        for (Thread client : clients) {
            client.join();
        }
        testEnd.countDown();
        System.out.println("planned stop, seed " + seed + ": " + outcomes);
        assertThat(violations).as("outcomes: %s", outcomes).isEmpty();
    }

    private CompletableFuture<Void> stopGateway() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        reactor.execute(() -> gateway.stop().whenComplete(() -> stopped.complete(null)));
        return stopped;
    }

    // ---- configuration and targets

    private void publishTargets(long index, Random random, List<ScriptedTarget> started) {
        List<Route> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            routes.add(new Route(
                    kind.name(),
                    "h",
                    path(kind),
                    kind,
                    400 + random.nextInt(random.nextBoolean() ? 1_200 : 15_000),
                    300,
                    0,
                    List.of(new WeightedService("chat", 1)),
                    2,
                    false));
        }
        Map<String, TargetSighting> sightings = new TreeMap<>();
        for (ScriptedTarget target : started) {
            String id = "t-" + target.address();
            sightings.put(id, new TargetSighting(id, "chat", target.address(), "north", 64, false, -1, index));
        }
        ServingConfiguration configuration = ServingConfiguration.of(
                1,
                routes,
                List.of(new Service("chat", "/health", 100, null, null, null, null)),
                ClientLimits.DEFAULT,
                List.of(new Account("acme", List.of("k"), 0)));
        update(new PublishedState(index, configuration, List.of(), sightings, List.of(), true), clock.millis());
    }

    private static String path(RequestKind kind) {
        return "/" + kind.name() + "/";
    }

    /** Answers quickly, slowly, not at all, or that it does not run the request. */
    private boolean answer(long seed, String id, Socket socket) throws IOException {
        Random random = new Random(31 * seed + id.hashCode());
        int draw = random.nextInt(100);
        if (draw < 5) {
            ScriptedTarget.write(
                    socket, "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!ran.add(id) && !isRepeatable(id)) {
            violations.add("ran twice: " + id);
        }
        if (draw < 10) {
            await(testEnd, 5_000);
            return false;
        }
        sleep(draw < 25 ? 300 + random.nextInt(2_500) : random.nextInt(60));
        String event = "id: 1\ndata: " + id + "\n\n";
        String last = "id: 2\ndata: end\n\n";
        ScriptedTarget.write(
                socket,
                "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + (event.length() + last.length()) + "\r\n\r\n"
                        + event);
        sleep(draw < 40 ? random.nextInt(1_500) : 0);
        ScriptedTarget.write(socket, last);
        return true;
    }

    // ---- clients

    private enum Behaviour {
        KEEPS_CONNECTION,
        USES_CONNECTION_LATE,
        OPENS_CONNECTIONS,
        PIPELINES,
        SENDS_BODY_SLOWLY,
        READS_SLOWLY,
        LEAVES_BODY_INCOMPLETE
    }

    /** Uses the gateway until it is gone, or until balancers no longer route new connections to it. */
    private void run(Behaviour behaviour, Random random) {
        while (!gone && clock.millis() - stopMillis < BALANCED_MILLIS) {
            try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                useConnection(behaviour, random, socket);
            } catch (ConnectException e) {
                count("not connected");
            } catch (IOException e) {
                violations.add(behaviour + ": " + e);
            }
        }
    }

    private void useConnection(Behaviour behaviour, Random random, Socket socket) throws IOException {
        if (behaviour == Behaviour.USES_CONNECTION_LATE) {
            sleep(random.nextInt((int) GRACE_MILLIS));
        }
        InputStream input = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open) {
            List<String> ids = new ArrayList<>();
            int requests = behaviour == Behaviour.PIPELINES ? 1 + random.nextInt(4) : 1;
            for (int request = 0; request < requests; request++) {
                RequestKind kind =
                        behaviour == Behaviour.PIPELINES ? RequestKind.UNSAFE : KINDS.get(random.nextInt(KINDS.size()));
                ids.add(kind.name() + "-" + lastRequest.incrementAndGet());
            }
            try {
                send(behaviour, random, socket, ids);
            } catch (SocketException e) {
                // the answer to a request that was refused early can still be read
                count("not sent completely");
            }
            long sentMillis = clock.millis();
            for (String id : ids) {
                open = readAnswer(behaviour, input, id, sentMillis);
                if (!open) {
                    break;
                }
            }
            if (behaviour == Behaviour.OPENS_CONNECTIONS || behaviour == Behaviour.LEAVES_BODY_INCOMPLETE) {
                return;
            }
            sleep(random.nextInt((int) MAX_THINK_MILLIS / 2));
        }
    }

    private static boolean isSlow(Behaviour behaviour) {
        return behaviour == Behaviour.SENDS_BODY_SLOWLY || behaviour == Behaviour.LEAVES_BODY_INCOMPLETE;
    }

    private void send(Behaviour behaviour, Random random, Socket socket, List<String> ids) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String id : ids) {
            text.append("POST ")
                    .append(path(kind(id)))
                    .append("1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: ")
                    .append(id)
                    .append("\r\nContent-Length: 4\r\n\r\nbody");
        }
        if (!isSlow(behaviour)) {
            ScriptedTarget.write(socket, text.toString());
            return;
        }
        int split = 1 + random.nextInt(text.length() - 1);
        ScriptedTarget.write(socket, text.substring(0, split));
        if (behaviour == Behaviour.SENDS_BODY_SLOWLY) {
            sleep(random.nextInt(1_500));
            ScriptedTarget.write(socket, text.substring(split));
        }
    }

    /** Reads and checks an answer; returns true if the connection serves a further request. */
    private boolean readAnswer(Behaviour behaviour, InputStream input, String id, long sentMillis) throws IOException {
        String head = readHead(input);
        if (head == null) {
            // an unused connection may be closed while a request is on its way
            boolean unused = sentMillis - stopMillis > DRAINED_MILLIS && !ran.contains(id);
            if (gone || unused) {
                count("closed while unused");
            } else {
                violations.add(behaviour + " " + id + ": no answer, ran " + ran.contains(id) + ", "
                        + (clock.millis() - stopMillis) + " ms after the stop");
            }
            return false;
        }
        int status = Integer.parseInt(head.substring(9, 12));
        boolean whole = readBody(behaviour, input, head);
        count(status + (whole ? "" : " cut"));
        if (!whole && !(status == 200 && kind(id).isStream())) {
            violations.add(behaviour + " " + id + ": cut answer " + head);
        }
        if (status == 503 && ran.contains(id)) {
            violations.add(behaviour + " " + id + ": refused but run");
        }
        return whole && !head.contains("Connection: close");
    }

    /** Returns null if the connection ended or was reset before a head. */
    private static String readHead(InputStream input) throws IOException {
        try {
            return ScriptedTarget.readHead(input);
        } catch (SocketException e) {
            return null;
        }
    }

    private static boolean readBody(Behaviour behaviour, InputStream input, String head) throws IOException {
        try {
            if (behaviour == Behaviour.READS_SLOWLY) {
                sleep(MAX_THINK_MILLIS / 2);
            }
            if (!head.contains("chunked")) {
                int length = Integer.parseInt(ScriptedTarget.field(head, "Content-Length"));
                return input.readNBytes(length).length == length;
            }
            StringBuilder body = new StringBuilder();
            while (!body.toString().endsWith("\r\n0\r\n\r\n")) {
                byte[] next = input.readNBytes(1);
                if (next.length == 0) {
                    return false;
                }
                body.append(new String(next, StandardCharsets.ISO_8859_1));
            }
            return true;
        } catch (SocketException e) {
            return false;
        }
    }

    private static RequestKind kind(String id) {
        return RequestKind.valueOf(id.substring(0, id.indexOf('-')));
    }

    private static boolean isRepeatable(String id) {
        return kind(id).isRetryable();
    }

    private void count(String outcome) {
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    private static void sleep(long millis) {
        await(new CountDownLatch(1), millis);
    }
}
