package org.bankturn.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BankturnToolTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"donor-line.yaml", "signing-franchise.yaml"})
    void the_examples_are_valid(String name) {
        assertThat(BankturnTool.run("validate", EXAMPLES.resolve(name).toString()))
                .isZero();
    }

    @Test
    void a_bad_file_exits_with_refused() throws IOException {
        Path bad = folder.resolve("bad.yaml");
        Files.writeString(bad, "name: x\nnumber: none\n");
        assertThat(BankturnTool.run("validate", "--output", "json", bad.toString()))
                .isEqualTo(ExitCode.REFUSED.number());
    }

    @Test
    void an_unknown_command_or_output_exits_with_usage() {
        assertThat(BankturnTool.run("frobnicate")).isEqualTo(ExitCode.USAGE.number());
        assertThat(BankturnTool.run("show", "--output", "xml")).isEqualTo(ExitCode.USAGE.number());
    }

    /** Guards against an order whose outcome is unknown, or that was refused, being reported as done. */
    @Test
    void evacuation_orders_exit_by_the_answer_of_the_control_process() throws IOException {
        List<String> calls = new CopyOnWriteArrayList<>();
        AtomicInteger status = new AtomicInteger(200);
        HttpServer control = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        control.createContext("/", exchange -> {
            calls.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            byte[] body = "{\"reason\":\"SUPERSEDED\",\"evacuated\":[]}".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status.get(), body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        control.start();
        String address = "127.0.0.1:" + control.getAddress().getPort();
        try {
            assertThat(BankturnTool.run("evacuate", "--addresses", address, "north"))
                    .isZero();
            assertThat(BankturnTool.run("evacuate", "--addresses", address, "--end", "north"))
                    .isZero();
            assertThat(BankturnTool.run("evacuate", "--addresses", address)).isZero();
            assertThat(calls)
                    .containsExactly("PUT /evacuations/north", "DELETE /evacuations/north", "GET /evacuations");
            status.set(400);
            assertThat(BankturnTool.run("evacuate", "--addresses", address, "nrth"))
                    .isEqualTo(ExitCode.REFUSED.number());
            status.set(503);
            assertThat(BankturnTool.run("evacuate", "--addresses", address, "north"))
                    .isEqualTo(ExitCode.UNKNOWN.number());
        } finally {
            control.stop(0);
        }
    }

    /** Guards against a missing member, or a process that is no member, that nothing shows. */
    @Test
    void group_members_are_shown_with_their_last_contact_and_the_losses_tolerated() throws IOException {
        JsonNode leader = JSON.readTree("""
                {"process": "a:1", "member": true, "leads": true, "leader": "a:1", "term": 3, "tolerableLosses": 0,
                 "members": [{"address": "a:1", "silentMillis": 0}, {"address": "b:1", "silentMillis": 2100}]}""");
        assertThat(TextRenderer.group(leader)).isEqualTo("""
                        a:1 leads, leader a:1, term 3
                        member  a:1  last contact 0 ms ago
                        member  b:1  last contact 2100 ms ago
                        further losses tolerated: 0
                        """);
        JsonNode outside = JSON.readTree("""
                {"process": "c:1", "member": false, "leads": false, "term": 0, "members": []}""");
        assertThat(TextRenderer.group(outside)).isEqualTo("c:1 does not lead, is no member, no leader known, term 0\n");
    }

    @Test
    void no_answering_address_exits_with_unreachable() {
        assertThat(BankturnTool.run("show", "--addresses", "127.0.0.1:1,127.0.0.1:2"))
                .isEqualTo(ExitCode.UNREACHABLE.number());
    }
}
