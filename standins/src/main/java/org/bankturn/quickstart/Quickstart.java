package org.bankturn.quickstart;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import org.bankturn.cli.BankturnTool;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.Await;
import org.bankturn.harness.BurstBound;
import org.bankturn.harness.Caller;
import org.bankturn.harness.CallerStatistics;
import org.bankturn.harness.DeploymentPlan;
import org.bankturn.harness.LocalDeployment;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.Weights;

/** The command {@code quickstart}: runs a deployment of today's sizes and exits non-zero if any promise was broken. */
@Command(name = "quickstart", description = "Moves two versions under load on loopback and checks the promises.")
public final class Quickstart {
    private static final int MEBIBYTE = 1 << 20;
    private static final int WEIGHT_MEBIBYTES = 64;
    private static final long ORIGIN_RATE = 64L * MEBIBYTE;
    private static final long BOX_RATE = 32L * MEBIBYTE;
    private static final int CALLERS = 8;
    private static final long TIMEOUT_MILLIS = 40_000;
    private static final int EXIT_BROKEN = 1;

    @Option(
            name = {"--deployment"},
            title = "donor|signing",
            description = "Whose sizes to run.")
    @AllowedRawValues(allowedValues = {"donor", "signing"})
    private String deployment = "donor";

    @AirlineModule
    private HelpOption<Quickstart> help;

    private volatile boolean calling = true;

    /** Created by the command-line parser. */
    public Quickstart() {}

    /**
     * Runs the quickstart.
     *
     * @param arguments the command line, not null
     * @throws IOException if the deployment cannot be set up
     */
    public static void main(String[] arguments) throws IOException {
        Quickstart quickstart = SingleCommand.singleCommand(Quickstart.class).parse(arguments);
        if (quickstart.help.showHelpIfRequested()) {
            return;
        }
        boolean kept = quickstart.run();
        System.out.println(kept ? "every promise was kept" : "A PROMISE WAS BROKEN");
        System.exit(kept ? 0 : EXIT_BROKEN);
    }

    private boolean run() throws IOException {
        boolean donor = deployment.equals("donor");
        DeploymentPlan plan = donor ? DeploymentPlan.donor() : DeploymentPlan.signing();
        DistributionPolicy policy = donor ? DistributionPolicy.TIME_TO_REPLICAS : DistributionPolicy.ORIGIN_BYTES;
        LocalDeployment.Options options = new LocalDeployment.Options(
                ORIGIN_RATE, BOX_RATE, policy, plan.assistantCount() - 2, 64, EngineStandin.Settings.DEFAULT, false);
        Weights first = Weights.generate(1, WEIGHT_MEBIBYTES * MEBIBYTE, MEBIBYTE);
        Weights second = Weights.generate(2, WEIGHT_MEBIBYTES * MEBIBYTE, MEBIBYTE);
        try (LocalDeployment running = LocalDeployment.prepare(plan, options)) {
            return run(running, first, second);
        }
    }

    private boolean run(LocalDeployment running, Weights first, Weights second) throws IOException {
        running.origin().publish(first);
        running.origin().publish(second);
        long startNanos = System.nanoTime();
        running.startAll();
        report("%d processes ready after %.1f s", running.daemons().size(), secondsSince(startNanos));
        move(running, 1, Map.of("v1", first), "v1", first);
        awaitInService(running, first);

        CallerStatistics tally = new CallerStatistics();
        List<Thread> callers = startCallers(running, tally, Set.of(first.digest(), second.digest()));
        move(running, 2, Map.of("v1", first, "v2", second), "v2", second);
        awaitInService(running, second);
        pause(2_000);
        calling = false;
        callers.forEach(Quickstart::join);
        return judge(running, tally);
    }

    private void move(LocalDeployment running, long number, Map<String, Weights> versions, String name, Weights weights)
            throws IOException {
        Path file = running.writeOperatorFile(number, versions, name);
        long startNanos = System.nanoTime();
        int exit = BankturnTool.run(
                "apply", "--addresses", running.operatorAddresses(), "--by", "quickstart", file.toString());
        if (exit != 0) {
            throw new IllegalStateException("apply exited with " + exit);
        }
        int boxes = running.plan().assistantCount();
        Await.until(
                "half of the engines serve " + name, TIMEOUT_MILLIS, () -> running.enginesWith(weights) >= boxes / 2);
        double half = secondsSince(startNanos);
        Await.until("all engines serve " + name, TIMEOUT_MILLIS, () -> running.enginesWith(weights) >= boxes);
        double all = secondsSince(startNanos);
        BurstBound bound = BurstBound.of(weights.bytes().length, boxes, ORIGIN_RATE, BOX_RATE);
        report(
                "%s: %d of %d replicas after %.2f s, all after %.2f s (bound %.2f s); origin %.2f copies",
                name,
                boxes / 2,
                boxes,
                half,
                all,
                bound.seconds(),
                running.origin().copiesSent(weights.manifest().digest()));
    }

    /** A version is in service once a caller of every entry process gets answers made with its weights. */
    private static void awaitInService(LocalDeployment running, Weights weights) {
        for (DeploymentPlan.EntryBox entry : running.plan().entries()) {
            Await.until("version in service at " + entry.name(), TIMEOUT_MILLIS, () -> {
                CallerStatistics tally = new CallerStatistics();
                new Caller(tally, Set.of(weights.digest()), EngineStandin.Settings.DEFAULT.tokens())
                        .chat(running.httpAddress(entry.name()), "account-1");
                return tally.completeCount() == 1;
            });
        }
    }

    private List<Thread> startCallers(LocalDeployment running, CallerStatistics tally, Set<String> knownWeights) {
        Caller caller = new Caller(tally, knownWeights, EngineStandin.Settings.DEFAULT.tokens());
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Thread thread = new Thread(() -> callUntilTold(running, caller), "caller-" + number);
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    private void callUntilTold(LocalDeployment running, Caller caller) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        DeploymentPlan plan = running.plan();
        while (calling) {
            DeploymentPlan.Account account =
                    plan.accounts().get(random.nextInt(plan.accounts().size()));
            List<DeploymentPlan.EntryBox> allowed = plan.entries().stream()
                    .filter(entry -> account.dataHalls().contains(entry.dataHall()))
                    .toList();
            String address = running.httpAddress(
                    allowed.get(random.nextInt(allowed.size())).name());
            if (random.nextInt(4) > 0) {
                caller.chat(address, account.name());
            } else {
                String service = plan.plainServices().get(random.nextInt(2));
                caller.callOnce(
                        address, account.name(), service, UUID.randomUUID().toString());
            }
        }
    }

    private static boolean judge(LocalDeployment running, CallerStatistics tally) {
        Map<String, Integer> runs = running.runsById();
        long doubled = tally.executedRepeatedly(runs);
        long lost = tally.confirmedButNotExecuted(runs);
        long refusedButRan = tally.refusedButExecuted(runs);
        report(
                "requests: sent %d, answered whole %d, refused %d, unknown %d, wrong %d, doubled %d, lost %d,"
                        + " refused but ran %d",
                tally.sentCount(),
                tally.completeCount(),
                tally.refusedCount(),
                tally.unknownCount(),
                tally.incorrectCount(),
                doubled,
                lost,
                refusedButRan);
        tally.firstFailures().forEach(note -> report("  %s", note));
        boolean accounted = tally.sentCount()
                == tally.completeCount() + tally.refusedCount() + tally.unknownCount() + tally.incorrectCount();
        return accounted && tally.completeCount() > 0 && tally.incorrectCount() + doubled + lost + refusedButRan == 0;
    }

    private static void report(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
