package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the packaged jars from the command line. */
@Timeout(120)
class PackagedProgramsTest {
    private static final int EXIT_SETTINGS = 3;

    @TempDir
    private Path folder;

    @Test
    void the_daemon_and_the_tool_explain_themselves() throws Exception {
        assertThat(run("daemon", "--help").output()).contains("bankturnd").contains("--settings");
        Result tool = run("cli", "help");
        assertThat(tool.status()).isZero();
        assertThat(tool.output()).contains("bankturn").contains("apply");
    }

    @Test
    void the_daemon_refuses_bad_settings_with_a_number_the_line_and_the_field() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.yaml"), "process: p\nroles: [nothing]\n");
        Result result = run("daemon", "--settings", bad.toString());
        assertThat(result.status()).isEqualTo(EXIT_SETTINGS);
        assertThat(result.output()).containsPattern("10\\d\\d .*bad.yaml:\\d+:\\d+ ?\\S*: ");
    }

    @Test
    void the_daemon_says_that_it_is_ready_with_good_settings() throws Exception {
        int node = freePort();
        Path good = Files.writeString(
                folder.resolve("good.yaml"),
                String.join(
                        "\n",
                        "process: box-1",
                        "dataHall: north",
                        "roles: [control]",
                        "httpAddress: 127.0.0.1:" + freePort(),
                        "nodeAddress: 127.0.0.1:" + node,
                        "controlBoxes:",
                        "  - {name: box-1, nodeAddress: '127.0.0.1:" + node + "'}",
                        "configurationSources: ['127.0.0.1:" + node + "']",
                        "control:",
                        "  dataFolder: " + folder.resolve("data"),
                        ""));
        Process daemon = start("daemon", "--settings", good.toString(), "--form-control-group");
        try (BufferedReader output =
                new BufferedReader(new InputStreamReader(daemon.getInputStream(), StandardCharsets.UTF_8))) {
            List<String> lines = new ArrayList<>();
            String line = output.readLine();
            while (line != null && !line.startsWith("bankturnd ready")) {
                lines.add(line);
                line = output.readLine();
            }
            assertThat(line).as("after %s", lines).startsWith("bankturnd ready process=box-1");
        } finally {
            daemon.destroy();
        }
    }

    private record Result(int status, String output) {}

    private static Result run(String module, String... arguments) throws IOException, InterruptedException {
        Process process = start(module, arguments);
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Result(process.waitFor(), output);
    }

    private static Process start(String module, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-jar");
        command.add(Path.of("..", module, "target", "bankturn-" + module + "-0.1.0-SNAPSHOT-all.jar")
                .toString());
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
