package org.bankturn.daemon.serving;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.routing.RetryLimits;
import org.bankturn.time.Clock;

/**
 * Runs a process of each role on loopback, in one virtual machine, for a moment.
 *
 * <p>The build does so once to learn which classes the programs load, and writes them to an archive that makes every start
 * cheaper. Nothing depends on its outcome.
 */
public final class CdsTrainingRun {
    private static final long LENGTH_MILLIS = 3_000;
    private static final int ROUNDS = 3;
    private static final long CALL_MILLIS = 1_000;
    private static final long BYTES_PER_SECOND = 1_000_000;
    private static final String HALL = "hall";
    private static final String OWN_CLASSES = "org/bankturn/";
    private static final String CLASS_SUFFIX = ".class";

    private final Dialects dialects;
    private final SettingsSource source;
    private final Address control = freeAddress();
    private final Address callers = freeAddress();
    private final Address measured = freeAddress();
    private final Address controlNode = freeAddress();

    /**
     * Runs the rehearsal.
     *
     * @param dialects the platform's dialects, not null
     * @param source where processes look for changed settings, not null
     * @param controlCalls calls that operators and targets make, not null
     * @param requests what callers ask, not null
     */
    public static void run(Dialects dialects, SettingsSource source, List<Call> controlCalls, List<Call> requests)
            throws IOException, InterruptedException {
        new CdsTrainingRun(dialects, source).run(controlCalls, requests);
    }

    /**
     * Loads every class of bankturn's own that lies in an archive, without running any of it.
     *
     * <p>What a rehearsal on loopback does not reach, such as an answer that is passed on, is archived as well.
     *
     * @param archive the archive that the programs are started from, not null
     */
    public static void loadApplicationClasses(Path archive) throws IOException {
        List<String> names;
        try (JarFile jar = new JarFile(archive.toFile())) {
            names = jar.stream()
                    .map(JarEntry::getName)
                    .filter(name -> name.startsWith(OWN_CLASSES) && name.endsWith(CLASS_SUFFIX))
                    .toList();
        }
        for (String name : names) {
            String type =
                    name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.');
            try {
                Class.forName(type, false, CdsTrainingRun.class.getClassLoader());
            } catch (ClassNotFoundException | LinkageError e) {
                System.err.println("not archived: " + type + ", " + e);
            }
        }
    }

    private CdsTrainingRun(Dialects dialects, SettingsSource source) throws IOException {
        this.dialects = dialects;
        this.source = source;
    }

    private void run(List<Call> controlCalls, List<Call> requests) throws IOException, InterruptedException {
        for (ProcessRole role : ProcessRole.values()) {
            ServingProcess.of(settings(role), source, dialects).start().join();
        }
        Eventloop reactor = Eventloop.builder().withThreadName("rehearsal").build();
        reactor.keepAlive(true);
        new Thread(reactor, "rehearsal").start();
        HttpCalls caller = HttpCalls.on(reactor, Clock.system());
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(LENGTH_MILLIS / ROUNDS);
            reactor.execute(() -> {
                controlCalls.forEach(call -> call.send(caller, control));
                requests.forEach(call -> call.send(caller, callers));
                new Call("GET", "/metrics", new byte[0]).send(caller, measured);
            });
        }
        Thread.sleep(CALL_MILLIS);
    }

    private ServingSettings settings(ProcessRole role) throws IOException {
        boolean controls = role == ProcessRole.CONTROL;
        boolean entry = role == ProcessRole.ENTRY;
        Address callAddress = controls ? control : entry ? callers : null;
        return new ServingSettings(
                "rehearsal-" + role,
                role,
                HALL,
                callAddress,
                entry ? freeAddress() : null,
                controls ? controlNode : freeAddress(),
                entry ? measured : null,
                controls ? Files.createTempDirectory("rehearsal").toString() : null,
                controls,
                List.of(controlNode),
                control,
                "s",
                BYTES_PER_SECOND,
                new ServingSettings.Bounds(
                        CALL_MILLIS, CALL_MILLIS, CALL_MILLIS, new RetryLimits(0.1, 1, CALL_MILLIS)));
    }

    /** A call to the control process or a request of a caller. */
    public record Call(String method, String target, byte[] body) {
        private void send(HttpCalls caller, Address to) {
            caller.call(to.toSocketAddress(), HttpHead.request(method, target, List.of()), body, CALL_MILLIS);
        }
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
