package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.settings.Address;

/**
 * Base of seeded soaks: requests that crash their targets beside sound ones, while gateways restart and targets crash for
 * other reasons, too.
 *
 * <p>The system property {@code bankturn.soak.seeds} sets the number of seeds.
 */
abstract class CrashSoakFixture extends ServingFixture {
    static final int GATEWAYS = 3;
    static final int POPULAR_PARTS = 4;
    static final long SOUND_ONLY_MILLIS = 1_500;

    /** The time after which all processes should know of a crash, and the requests that may still reach a target then. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int MAX_LATE_REQUESTS = 3;
    private static final int TARGETS = 14;
    private static final int SOUND_CALLERS = 6;
    private static final long RUN_MILLIS = 11_000;

    final AtomicInteger calls = new AtomicInteger();
    private final List<ScriptedTarget> live = new CopyOnWriteArrayList<>();
    private final List<Address> gateways = new CopyOnWriteArrayList<>();
    private final List<Long> crashMillis = new CopyOnWriteArrayList<>();
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final List<Throwable> errors = new CopyOnWriteArrayList<>();
    private long startMillis;

    /** The outcome of a sound request. */
    private record Outcome(long sentMillis, boolean served) {}

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("bankturn.soak.seeds", 2));
    }

    /** Returns a target that crashes on some requests and answers all others, not null. */
    abstract ScriptedTarget newTarget() throws IOException;

    /** Sends requests that crash their targets while the soak is running. */
    abstract void callCrashing(Random random) throws IOException;

    /** Runs the load and the failures of a seed. */
    void run(Random random) throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            addTarget();
        }
        configure();
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            gateways.add(startGateway());
        }
        startMillis = System.currentTimeMillis();
        List<Thread> threads = new ArrayList<>();
        threads.add(started(this::keepTargets));
        for (int caller = 0; caller < SOUND_CALLERS; caller++) {
            long own = random.nextLong();
            threads.add(started(() -> callSound(new Random(own))));
        }
        long crashing = random.nextLong();
        threads.add(started(() -> callCrashing(new Random(crashing))));
        long disturbing = random.nextLong();
        threads.add(started(() -> disturb(new Random(disturbing))));
        for (Thread thread : threads) {
            thread.join();
        }
    }

    // ---- checks

    /** Checks that few targets crash late after the given number of crashes, and that sound requests are served. */
    void check(int crashesBeforeLimit) {
        assertThat(errors).isEmpty();
        assertThat(crashMillis).hasSizeGreaterThanOrEqualTo(crashesBeforeLimit);
        long last = crashMillis.get(crashesBeforeLimit - 1);
        long late =
                crashMillis.stream().filter(at -> at > last + CONTACT_MILLIS).count();
        assertThat(late).as("crashes after %s", crashMillis).isLessThanOrEqualTo(MAX_LATE_REQUESTS);
        double before = servedShare(0, SOUND_ONLY_MILLIS);
        double after = servedShare(last + 2 * CONTACT_MILLIS - startMillis, RUN_MILLIS);
        assertThat(after).as("served before: %s", before).isGreaterThan(before / 2);
    }

    private double servedShare(long fromMillis, long untilMillis) {
        List<Outcome> within = outcomes.stream()
                .filter(each -> each.sentMillis() >= fromMillis && each.sentMillis() < untilMillis)
                .toList();
        assertThat(within).hasSizeGreaterThan(20);
        return (double) within.stream().filter(Outcome::served).count() / within.size();
    }

    // ---- the load

    boolean isRunning() {
        return System.currentTimeMillis() < startMillis + RUN_MILLIS;
    }

    /** Records that a request crashes its target. */
    void recordCrash() {
        crashMillis.add(System.currentTimeMillis());
    }

    private void callSound(Random random) throws IOException {
        while (isRunning()) {
            String body = "sound" + calls.incrementAndGet();
            String parts = "popular" + random.nextInt(POPULAR_PARTS) + "," + body;
            long sent = System.currentTimeMillis() - startMillis;
            String response = callSomeGateway(random, parts, body);
            boolean served = response.startsWith("HTTP/1.1 200");
            if (served) {
                assertThat(response).endsWith(body);
            }
            outcomes.add(new Outcome(sent, served));
            pause(10 + random.nextInt(40));
        }
    }

    /** Calls a gateway; one that is stopping may have closed its port already, as for any caller with an old list. */
    String callSomeGateway(Random random, String parts, String body) {
        try {
            return exchangeWithParts(someGateway(random), parts, body);
        } catch (IOException e) {
            return "not connected";
        }
    }

    Address someGateway(Random random) {
        return gateways.get(random.nextInt(GATEWAYS));
    }

    /** Answers a sound request. */
    static boolean answer(String id, String body, Socket socket) throws IOException {
        pause(20);
        ScriptedTarget.write(
                socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }

    // ---- failures

    /** Restarts gateways and crashes targets at random times. */
    private void disturb(Random random) throws Exception {
        while (isRunning()) {
            pause(700 + random.nextInt(1_500));
            if (random.nextBoolean()) {
                int restarted = random.nextInt(GATEWAYS);
                Address former = gateways.get(restarted);
                gateways.set(restarted, startGateway());
                stopGateway(former);
            } else {
                int crashed = 1 + random.nextInt(4);
                for (int target = 0; target < crashed; target++) {
                    ScriptedTarget victim = live.get(random.nextInt(live.size()));
                    removed(victim);
                    victim.crash();
                }
            }
        }
    }

    /** Replaces crashed targets and sends the heartbeats of the others. */
    private void keepTargets() throws IOException {
        long sequence = 1;
        while (isRunning()) {
            pause(250);
            sequence++;
            while (live.size() < TARGETS) {
                addTarget();
            }
            for (ScriptedTarget target : live) {
                announceAgain(target, sequence);
            }
        }
    }

    private void addTarget() throws IOException {
        ScriptedTarget target = newTarget();
        announce(target);
        live.add(target);
    }

    /** Records that a target sends no heartbeats any more. */
    void removed(ScriptedTarget target) {
        live.remove(target);
    }

    // ---- threads

    /** An activity that may throw. */
    private interface Activity {
        void run() throws Exception;
    }

    private Thread started(Activity activity) {
        Thread thread = new Thread(
                () -> {
                    try {
                        activity.run();
                    } catch (Exception | AssertionError e) {
                        errors.add(e);
                    }
                },
                "soak");
        thread.start();
        return thread;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
