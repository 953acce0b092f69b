package org.bankturn.specs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tlc2.TLC;

/** Runs the TLC model checker on the specifications in {@code specs/}, each in a separate JVM. */
class SpecificationTest {
    private static final Path SPECS = Path.of("..", "specs");

    @TempDir
    Path scratch;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Agreement",
                "Agreement.rejoin",
                "Agreement.loss",
                "Agreement.drop",
                "Membership",
                "Membership.down",
                "Membership.six",
                "Formation",
                "Registry",
                "Registry.addresses",
                "Suspects",
                "Suspects.bystander",
                "SuspectParts",
                "SentRequests",
                "Lease",
                "Lease.unchecking",
                "Ledger",
                "Permits",
                "Evacuation",
                "SlowStart",
                "WeightsStart"
            })
    void specification_satisfies_its_invariants(String configuration) throws Exception {
        assertThat(check(configuration)).contains("No error has been found");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Agreement.fault",
                "Agreement.fault-drop",
                "Agreement.fault-commit",
                "Membership.fault-silent",
                "Membership.fault-log",
                "Membership.fault-join",
                "Membership.fault-disks",
                "Formation.fault",
                "Registry.fault-sequence",
                "Registry.fault-departure",
                "Registry.fault-start",
                "Registry.fault-former",
                "Registry.fault-look",
                "Suspects.fault-count",
                "Suspects.fault-trials",
                "SuspectParts.fault-order",
                "SuspectParts.fault-known",
                "SentRequests.fault-ended",
                "SentRequests.fault-life",
                "Lease.fault-no-port-guard",
                "Lease.fault-no-start-wait",
                "Lease.fault-no-settle",
                "Ledger.fault-claim",
                "Ledger.fault-proof",
                "Permits.fault-start",
                "Permits.fault-ahead",
                "Evacuation.fault-compare",
                "Evacuation.fault-renew",
                "Evacuation.fault-local",
                "SlowStart.fault-start",
                "SlowStart.fault-join",
                "SlowStart.fault-view",
                "WeightsStart.fault-revision",
                "WeightsStart.fault-instance",
                "WeightsStart.fault-staging",
                "WeightsStart.fault-report",
                "WeightsStart.fault-forget"
            })
    void model_checker_detects_seeded_fault(String configuration) throws Exception {
        assertThat(check(configuration)).containsPattern("Invariant \\w+ is violated");
    }

    private String check(String configuration) throws IOException, InterruptedException {
        String module = configuration.replaceAll("\\..*", "");
        Path output = scratch.resolve("output");
        String tlc = Path.of(TLC.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .toString();
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseParallelGC",
                "-Xmx2g",
                "-cp",
                tlc,
                "tlc2.TLC",
                "-workers",
                "4",
                "-metadir",
                scratch.toString(),
                "-config",
                configuration + ".cfg",
                module + ".tla");
        Process process = new ProcessBuilder(command)
                .directory(SPECS.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        process.waitFor();
        return Files.readString(output, StandardCharsets.UTF_8);
    }
}
