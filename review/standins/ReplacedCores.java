import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Case, where the deployment is to bear the loss of two machines of the core at once: two are taken away for good at the
 * same moment and replaced by empty ones at other addresses; once these have had their time, two others lose their
 * disks and come back empty. Exits with 1 if the configuration that was
 * acknowledged can no longer be read, or reads as an older one, 0 if it can, 2 if the case could not run. With APART=N the
 * two that are replaced go N seconds after each other, for comparison.
 */
final class ReplacedCores {
    private static final int CORES = 6;
    private static final int TOLERANCE = 2;
    private static final int CATCH_UP_SECONDS = 6;
    private static final int RECOVERY_SECONDS = 15;

    /** How long the operator asks for the configuration at the end, far beyond {@code contact_ms}. */
    private static final int ASK_SECONDS = 20;

    private final Deployment deployment;
    private final TreeMap<Integer, Process> cores = new TreeMap<>();
    private final Operator operator;
    private int next = CORES;

    private ReplacedCores(Deployment deployment) {
        this.deployment = deployment;
        this.operator = new Operator(deployment, cores::keySet);
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            try {
                exit = new ReplacedCores(deployment).run(trouble);
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
        publish(1, 40);
        TimeUnit.SECONDS.sleep(8);
        publish(2, 10);
        if (trouble) {
            replace(List.of(3, 4));
        }
        TimeUnit.SECONDS.sleep(CATCH_UP_SECONDS + 4);
        publish(3, 10);
        if (trouble) {
            deployment.setSeeds(List.of(0, 5, 6));
            loseDisks(List.of(1, 2));
        }
        TimeUnit.SECONDS.sleep(RECOVERY_SECONDS);
        return operator.reads(3, ASK_SECONDS) ? 0 : 1;
    }

    private void publish(int version, int seconds) throws IOException, InterruptedException {
        if (!operator.publish(version, seconds)) {
            throw new IOException("configuration " + version + " was not acknowledged");
        }
    }

    /** Takes two machines away for good; empty ones at other addresses follow a second later. */
    private void replace(List<Integer> numbers) throws IOException, InterruptedException {
        int secondsApart = Integer.parseInt(System.getenv().getOrDefault("APART", "0"));
        for (int number : numbers) {
            deployment.record("SIGKILL to core-" + number + ", for good");
            cores.remove(number).destroyForcibly();
            TimeUnit.SECONDS.sleep(secondsApart);
        }
        TimeUnit.SECONDS.sleep(1);
        for (int number : numbers) {
            cores.put(next, deployment.startControl(next, number, false));
            next++;
        }
    }

    /** Kills two machines at the same moment; they come back a second later with empty disks. */
    private void loseDisks(List<Integer> numbers) throws IOException, InterruptedException {
        for (int number : numbers) {
            deployment.record("SIGKILL to core-" + number + ", which loses its disk");
            cores.get(number).destroyForcibly();
        }
        TimeUnit.SECONDS.sleep(1);
        for (int number : numbers) {
            cores.put(number, deployment.startControlWithEmptyDisk(number));
        }
    }
}
