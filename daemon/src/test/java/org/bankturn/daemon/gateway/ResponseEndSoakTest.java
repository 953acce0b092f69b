package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.stream.LongStream;
import org.bankturn.daemon.observe.DecisionKind;
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
 * A seeded soak: targets end in every order of events while their responses have no length. No caller takes a cut response
 * for a complete one, and no complete response of a planned end is lost.
 *
 * <p>The system property {@code bankturn.soak.seeds} sets the number of seeds.
 */
@Timeout(60)
class ResponseEndSoakTest extends GatewayFixture {
    private static final int TARGETS = 3;
    private static final int REQUESTS_PER_TARGET = 4;
    private static final int MAX_PARTS = 4;
    private static final int MAX_PART_MILLIS = 120;
    private static final int MAX_PUBLICATION_MILLIS = 300;

    /** How long a leaving target goes on serving after it has said so; exceeds the time until gateways are told. */
    private static final long SERVING_ON_MILLIS = 400;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final Set<String> arrived = ConcurrentHashMap.newKeySet();
    private final Set<String> writtenWhole = ConcurrentHashMap.newKeySet();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private PublishedTargets group;

    /** How a target ends. */
    private enum Ending {
        CRASH(false),
        CRASH_WHILE_LEAVING(false),
        CRASH_AFTER_REMOVAL(false),
        PLANNED(true),
        PLANNED_AFTER_REMOVAL(true);

        private final boolean planned;

        Ending(boolean planned) {
            this.planned = planned;
        }
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("bankturn.soak.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cut_responses_are_never_complete_and_complete_responses_of_planned_ends_are_never_lost(long seed)
            throws Exception {
        Random random = new Random(seed);
        try (PublishedTargets publisher =
                new PublishedTargets(configuration(), state -> update(state, clock.millis()))) {
            group = publisher;
            if (random.nextBoolean()) {
                group.loseLeader(random.nextInt(600), random.nextInt(1_500));
            }
            List<Thread> threads = new ArrayList<>();
            for (int number = 0; number < TARGETS; number++) {
                int own = number;
                long targetSeed = random.nextLong();
                Thread thread = new Thread(() -> runTarget(own, new Random(targetSeed)));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        assertThat(violations)
                .as("decisions: %s", log.lines(DecisionKind.RESPONSE_END))
                .isEmpty();
    }

    // ---- configuration

    private static String service(int number) {
        return "service-" + number;
    }

    private static ServingConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        List<Service> services = new ArrayList<>();
        for (int number = 0; number < TARGETS; number++) {
            services.add(new Service(service(number), "/health", 100, null, null, null, null));
            for (RequestKind kind : RequestKind.values()) {
                routes.add(new Route(
                        kind + "-" + number,
                        "h",
                        path(number, kind),
                        kind,
                        6_000,
                        300,
                        0,
                        List.of(new WeightedService(service(number), 1)),
                        1,
                        false));
            }
        }
        return ServingConfiguration.of(
                1, routes, services, ClientLimits.DEFAULT, List.of(new Account("acme", List.of("k"), 0)));
    }

    private static String path(int number, RequestKind kind) {
        return "/" + number + "/" + kind + "/";
    }

    // ---- targets

    /** Runs a target from its registration until the end of all its responses. */
    private void runTarget(int number, Random random) {
        try {
            Ending ending = pick(List.of(Ending.values()), random);
            ScriptedTarget target = startTarget(random);
            String id = "t" + number;
            group.record(sighting(id, number, target, false), 0).join();
            awaitServed(number);
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            for (int call = 0; call < REQUESTS_PER_TARGET; call++) {
                RequestKind kind = pick(List.of(RequestKind.values()), random);
                String request = number + "-" + call;
                boolean planned = ending.planned;
                calls.add(CompletableFuture.runAsync(() -> callAndCheck(number, kind, request, planned)));
                sleep(random.nextInt(30));
            }
            await(number, arrived);
            end(ending, id, number, target, calls, random);
            CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
        } catch (IOException | RuntimeException e) {
            violations.add("target " + number + ": " + e);
        }
    }

    private static <T> T pick(List<T> choices, Random random) {
        return choices.get(random.nextInt(choices.size()));
    }

    private ScriptedTarget startTarget(Random random) throws IOException {
        long answerMillis = random.nextBoolean() ? 0 : random.nextInt(200);
        boolean rejectsFirst = random.nextInt(4) == 0;
        long pauses = random.nextLong();
        ScriptedTarget target = new ScriptedTarget((arrival, id, socket) -> respond(id, socket, new Random(pauses)));
        return register(target.onCheck((expected, socket) -> {
            sleep(answerMillis);
            boolean rejected = rejectsFirst && target.checks.size() == 1;
            ScriptedTarget.write(
                    socket,
                    rejected ? "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" : ScriptedTarget.answerOf(expected));
            return true;
        }));
    }

    private boolean respond(String id, Socket socket, Random random) throws IOException {
        if (id.startsWith("warm")) {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        arrived.add(id);
        ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n");
        for (int part = 1; part <= MAX_PARTS; part++) {
            sleep(random.nextInt(MAX_PART_MILLIS));
            ScriptedTarget.write(socket, part(id, part));
        }
        writtenWhole.add(id);
        return false;
    }

    private static String part(String id, int part) {
        return "id: " + part + "\ndata: " + id + "\n\n";
    }

    private static String whole(String id) {
        StringBuilder body = new StringBuilder();
        for (int part = 1; part <= MAX_PARTS; part++) {
            body.append(part(id, part));
        }
        return body.toString();
    }

    private static TargetSighting sighting(String id, int number, ScriptedTarget target, boolean leaving) {
        return new TargetSighting(id, service(number), target.address(), "north", 8, leaving, -1, leaving ? 2 : 1);
    }

    // ---- endings

    private void end(
            Ending ending,
            String id,
            int number,
            ScriptedTarget target,
            List<CompletableFuture<Void>> calls,
            Random random)
            throws IOException {
        long publicationMillis = random.nextInt(MAX_PUBLICATION_MILLIS);
        sleep(random.nextInt(100));
        switch (ending) {
            case CRASH -> crash(id, number, target, random);
            case CRASH_WHILE_LEAVING -> {
                CompletableFuture<Void> unused = group.record(sighting(id, number, target, true), publicationMillis);
                sleep(random.nextInt(350));
                crash(id, number, target, random);
            }
            case CRASH_AFTER_REMOVAL -> {
                CompletableFuture<Void> unused = group.leave(id, publicationMillis);
                sleep(random.nextInt(350));
                crash(id, number, target, random);
            }
            case PLANNED -> {
                group.record(sighting(id, number, target, true), publicationMillis)
                        .join();
                sleep(SERVING_ON_MILLIS);
                await(number, writtenWhole);
                group.leave(id, publicationMillis).join();
                target.crash();
            }
            case PLANNED_AFTER_REMOVAL -> {
                group.leave(id, publicationMillis).join();
                sleep(SERVING_ON_MILLIS);
                // nothing but its answer shows that such a target ended as planned, so it stays for the checks
                calls.forEach(CompletableFuture::join);
                target.crash();
            }
        }
    }

    /** Kills a target; its port may outlive its connections, and another target may take over its address. */
    private void crash(String id, int number, ScriptedTarget target, Random random) throws IOException {
        boolean successorAtOnce = random.nextInt(3) == 0;
        if (successorAtOnce) {
            register(target.crashAndSucceed("successor", (arrival, request, socket) -> false));
        } else {
            if (random.nextBoolean()) {
                target.hang();
                sleep(random.nextInt(500));
            }
            target.crash();
            if (random.nextBoolean()) {
                sleep(random.nextInt(500));
                register(target.successor("successor", (arrival, request, socket) -> false));
            }
        }
        sleep(random.nextInt(200));
        long publicationMillis = random.nextInt(MAX_PUBLICATION_MILLIS);
        if (successorAtOnce || random.nextBoolean()) {
            CompletableFuture<Void> unused =
                    group.record(sighting("successor-" + number, number, target, false), publicationMillis);
        } else {
            group.removeSilent(id, publicationMillis);
        }
    }

    /** Waits until all requests to a target are among the given ones. */
    private static void await(int number, Set<String> requests) {
        for (int call = 0; call < REQUESTS_PER_TARGET; call++) {
            while (!requests.contains(number + "-" + call)) {
                sleep(1);
            }
        }
    }

    // ---- callers

    private void awaitServed(int number) throws IOException {
        while (!callRoute(number, RequestKind.IDEMPOTENT, "warm" + number).startsWith("HTTP/1.1 200")) {
            sleep(5);
        }
    }

    private String callRoute(int number, RequestKind kind, String id) throws IOException {
        return exchange("POST " + path(number, kind) + " HTTP/1.1\r\nHost: h\r\nId: " + id
                + "\r\nDeadline: 6000\r\nKey: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    private void callAndCheck(int number, RequestKind kind, String id, boolean planned) {
        try {
            String response = callRoute(number, kind, id);
            int headEnd = response.indexOf("\r\n\r\n") + 4;
            String head = response.substring(0, headEnd);
            String body = response.substring(headEnd);
            boolean chunked = head.contains("chunked");
            boolean success = head.startsWith("HTTP/1.1 200")
                    && (chunked ? body.endsWith(LAST_CHUNK) : body.length() == contentLength(head));
            boolean isWhole = chunked ? dechunked(body).equals(whole(id)) : body.equals(whole(id));
            if (success && !isWhole) {
                violations.add("cut response complete for its caller: " + id + " " + kind + ": " + response);
            }
            if (planned && !(success && isWhole)) {
                violations.add("whole response lost: " + id + " " + kind + ": " + response);
            }
        } catch (IOException e) {
            violations.add("call " + id + ": " + e);
        }
    }

    private static int contentLength(String head) {
        return Integer.parseInt(ScriptedTarget.field(head, "content-length"));
    }

    /** Returns the content of chunks, each of which is preceded by its length in hexadecimal digits. */
    private static String dechunked(String body) {
        StringBuilder content = new StringBuilder();
        int position = 0;
        while (position < body.length()) {
            int lineEnd = body.indexOf("\r\n", position);
            int length = Integer.parseInt(body.substring(position, lineEnd), 16);
            content.append(body, lineEnd + 2, lineEnd + 2 + length);
            position = lineEnd + 2 + length + 2;
        }
        return content.toString();
    }

    private static void sleep(long millis) {
        await(new CountDownLatch(1), millis);
    }
}
