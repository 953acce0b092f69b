package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.bankturn.cli.BankturnTool;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.Await;
import org.bankturn.harness.DaemonHandle;
import org.bankturn.harness.DeploymentPlan;
import org.bankturn.harness.LocalDeployment;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.Weights;

/** {@code bench overhead}: what entry and target process add to a call, in pairs, and what each role costs idle. */
@Command(name = "overhead", description = "Measures added latency, memory by role, and idle processor time.")
public final class OverheadBench implements Callable<String> {
    private static final String BODY = "{\"id\":\"overhead\"}";
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int WARM_UP = 400;
    private static final int OK = 200;

    @Option(
            name = {"--calls"},
            description = "Pairs of calls.")
    private int calls = 1_500;

    @Option(
            name = {"--idle-seconds"},
            description = "How long to watch the processes idle.")
    private int idleSeconds = 15;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Created by the command-line parser. */
    public OverheadBench() {}

    @Override
    public String call() throws IOException, InterruptedException {
        Weights weights = Weights.generate(1, 1 << 20, 256 << 10);
        LocalDeployment.Options options = new LocalDeployment.Options(
                64 << 20, 64 << 20, DistributionPolicy.ORIGIN_BYTES, 3, 64, EngineStandin.Settings.DEFAULT, false);
        try (LocalDeployment running = LocalDeployment.prepare(DeploymentPlan.small(), options)) {
            running.origin().publish(weights);
            running.startAll();
            String file =
                    running.writeOperatorFile(1, Map.of("v1", weights), "v1").toString();
            BankturnTool.run("apply", "--output", "json", "--addresses", running.operatorAddresses(), file);
            Await.until("engines serve", 60_000, () -> running.enginesWith(weights) == 3);
            return measure(running);
        }
    }

    private String measure(LocalDeployment running) throws IOException, InterruptedException {
        HttpRequest direct = request(running.backendAddress("one-booking"), "/calls");
        HttpRequest through = request(running.httpAddress("one-entry"), "/services/booking/calls");
        Await.until("booking answers", 60_000, () -> isOk(through));
        Histogram directMicros = new Histogram(HIGHEST_MICROS, 3);
        Histogram throughMicros = new Histogram(HIGHEST_MICROS, 3);
        for (int pair = 0; pair < calls + WARM_UP; pair++) {
            long directTook = time(direct);
            long throughTook = time(through);
            if (pair >= WARM_UP) {
                directMicros.recordValue(directTook);
                throughMicros.recordValue(throughTook);
            }
        }
        ObjectNode result = new ObjectMapper().createObjectNode().put("pairs", calls);
        result.put("directP50Micros", directMicros.getValueAtPercentile(50));
        result.put("directP99Micros", directMicros.getValueAtPercentile(99));
        result.put("throughP50Micros", throughMicros.getValueAtPercentile(50));
        result.put("throughP99Micros", throughMicros.getValueAtPercentile(99));
        watchIdle(running, result);
        return result.toString();
    }

    private void watchIdle(LocalDeployment running, ObjectNode result) throws InterruptedException {
        Map<String, Long> before = new HashMap<>();
        running.daemons().forEach(daemon -> before.put(daemon.name(), daemon.processorMillis()));
        Thread.sleep(idleSeconds * 1_000L);
        ObjectNode byProcess = result.putObject("processes");
        for (DaemonHandle daemon : running.daemons()) {
            double share = (daemon.processorMillis() - before.get(daemon.name())) / (idleSeconds * 1_000.0);
            byProcess
                    .putObject(daemon.name())
                    .put("residentMebibytes", daemon.residentKibibytes() >> 10)
                    .put("idleCorePercent", 100 * share);
        }
    }

    private static HttpRequest request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Content-Type", "application/json")
                .header("X-Bankturn-Account", "account-1")
                .POST(HttpRequest.BodyPublishers.ofString(BODY))
                .build();
    }

    private boolean isOk(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private long time(HttpRequest request) throws IOException, InterruptedException {
        long start = System.nanoTime();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != OK) {
            throw new IOException("answered " + response.statusCode());
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO;
    }
}
