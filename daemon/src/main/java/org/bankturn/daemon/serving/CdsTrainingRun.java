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
import org.bankturn.daemon.group.GroupSettings;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.RegionMap;
import org.bankturn.time.Clock;

/**
 * Runs a process of each role on loopback, in one virtual machine, for a few seconds.
 *
 * <p>The build uses it to record the classes that the programs load, and writes them to a class data sharing (CDS) archive that
 * shortens the start of each process. The responses are not checked.
 */
public final class CdsTrainingRun {
    private static final long DURATION_MILLIS = 3_000;
    private static final int ROUNDS = 3;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long LINK_BYTES_PER_SECOND = 1_000_000;
    private static final String DATA_HALL = "hall";
    private static final String APPLICATION_PACKAGE_PATH = "org/bankturn/";
    private static final String CLASS_SUFFIX = ".class";

    private final Dialects dialects;
    private final SettingsSource source;
    private final Address control = freeAddress();
    private final Address entry = freeAddress();
    private final Address entryMetrics = freeAddress();
    private final Address controlNode = freeAddress();

    /**
     * Starts the processes and sends the calls and requests to them.
     *
     * @param dialects the adapters of the platform, not null
     * @param source the source that the processes poll for changed settings, not null
     * @param controlCalls the calls to the control process, not null
     * @param requests the requests to the entry process, not null
     */
    public static void run(Dialects dialects, SettingsSource source, List<Call> controlCalls, List<Call> requests)
            throws IOException, InterruptedException {
        new CdsTrainingRun(dialects, source).run(controlCalls, requests);
    }

    /**
     * Loads all classes of bankturn in a JAR file without initializing them.
     *
     * <p>The CDS archive thus includes classes that the processes do not use on loopback, such as those that forward responses.
     *
     * @param archive the JAR file from which the programs are started, not null
     */
    public static void loadApplicationClasses(Path archive) throws IOException {
        List<String> names;
        try (JarFile jar = new JarFile(archive.toFile())) {
            names = jar.stream()
                    .map(JarEntry::getName)
                    .filter(name -> name.startsWith(APPLICATION_PACKAGE_PATH) && name.endsWith(CLASS_SUFFIX))
                    .toList();
        }
        for (String name : names) {
            String type =
                    name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.');
            try {
                Class.forName(type, false, CdsTrainingRun.class.getClassLoader());
            } catch (ClassNotFoundException | LinkageError e) {
                System.err.println("class " + type + " could not be loaded: " + e);
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
        PooledHttpClient client = PooledHttpClient.on(reactor, Clock.system());
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(DURATION_MILLIS / ROUNDS);
            reactor.execute(() -> {
                controlCalls.forEach(call -> call.send(client, control));
                requests.forEach(call -> call.send(client, entry));
                new Call("GET", "/metrics", new byte[0]).send(client, entryMetrics);
            });
        }
        Thread.sleep(CALL_TIMEOUT_MILLIS);
    }

    private ServingSettings settings(ProcessRole role) throws IOException {
        boolean isControl = role == ProcessRole.CONTROL;
        boolean isEntry = role == ProcessRole.ENTRY;
        Address callAddress = isControl ? control : isEntry ? entry : null;
        return new ServingSettings(
                "rehearsal-" + role,
                role,
                DATA_HALL,
                callAddress,
                isEntry ? freeAddress() : null,
                isControl ? controlNode : freeAddress(),
                isEntry ? entryMetrics : null,
                isControl ? Files.createTempDirectory("rehearsal").toString() : null,
                isControl,
                List.of(controlNode),
                control,
                "s",
                LINK_BYTES_PER_SECOND,
                new ServingSettings.Bounds(
                        CALL_TIMEOUT_MILLIS,
                        CALL_TIMEOUT_MILLIS,
                        CALL_TIMEOUT_MILLIS,
                        new RetryLimits(0.1, 1, CALL_TIMEOUT_MILLIS),
                        GroupSettings.DEFAULT_TOLERATED_LOSSES),
                RegionMap.NONE);
    }

    /** An HTTP request with an empty header section. */
    public record Call(String method, String target, byte[] body) {
        private void send(PooledHttpClient client, Address to) {
            client.call(to.toSocketAddress(), HttpHead.request(method, target, List.of()), body, CALL_TIMEOUT_MILLIS);
        }
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
