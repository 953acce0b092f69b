import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Case, where the loss of two machines of the core at once, and of two disks, is to be borne: machines of the core go
 * down one after the other; the two that are left acknowledge a configuration; then these two lose their disks, and all
 * come back. Exits with 1 if an acknowledged configuration can no longer be read, or an older one is read, 0 if it can,
 * 2 if the case could not run. With DOWN=2 or DOWN=1 only so many machines go down, for comparison.
 */
final class ShrunkCore {
    private static final int CORES = 5;
    private static final int TOLERANCE = 2;
    private static final int CATCH_UP_SECONDS = 6;
    private static final int RECOVERY_SECONDS = 15;

    /** The pause between two machines that go down. */
    private static final int PAUSE_SECONDS = 4;

    /** How long the operator asks for the configuration at the end, far beyond {@code contact_ms}. */
    private static final int ASK_SECONDS = 20;

    private final Deployment deployment;
    private final TreeMap<Integer, Process> cores = new TreeMap<>();
    private final Operator operator;

    private ShrunkCore(Deployment deployment) {
        this.deployment = deployment;
        this.operator = new Operator(deployment, cores::keySet);
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            try {
                exit = new ShrunkCore(deployment).run(trouble);
            } catch (IOException e) {
                deployment.record("the case could not run: " + e.getMessage());
            }
            deployment.record("exit " + exit);
        }
        System.exit(exit);
    }

    private int run(boolean trouble) throws IOException, InterruptedException {
        deployment.setTolerance(TOLERANCE, CATCH_UP_SECONDS, RECOVERY_SECONDS);
        for (int number = 0; number < CORES; number++) {
            cores.put(number, deployment.startControl(number, true));
        }
        if (!operator.publish(1, 40)) {
            throw new IOException("the first configuration was not acknowledged");
        }
        TimeUnit.SECONDS.sleep(8);
        if (!operator.publish(2, 10)) {
            throw new IOException("the second configuration was not acknowledged");
        }
        List<Integer> down = List.of(4, 3, 2).subList(0, downCount());
        for (int number : down) {
            if (trouble) {
                kill(number, "which goes down");
            }
            TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
        }
        int newest = operator.publish(3, 10) ? 3 : 2;
        if (trouble) {
            kill(0, "which loses its disk");
            kill(1, "which loses its disk");
            TimeUnit.SECONDS.sleep(1);
            for (int number : down) {
                cores.put(number, deployment.startControl(number, false));
            }
            for (int number : List.of(0, 1)) {
                cores.put(number, deployment.startControlWithEmptyDisk(number));
            }
        }
        TimeUnit.SECONDS.sleep(RECOVERY_SECONDS);
        return operator.reads(newest, ASK_SECONDS) ? 0 : 1;
    }

    private static int downCount() {
        return Integer.parseInt(System.getenv().getOrDefault("DOWN", "3"));
    }

    private void kill(int number, String what) {
        deployment.record("SIGKILL to core-" + number + ", " + what);
        cores.remove(number).destroyForcibly();
    }
}
