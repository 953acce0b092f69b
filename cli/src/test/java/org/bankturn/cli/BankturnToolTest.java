package org.bankturn.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BankturnToolTest {
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

    @Test
    void no_answering_address_exits_with_unreachable() {
        assertThat(BankturnTool.run("show", "--addresses", "127.0.0.1:1,127.0.0.1:2"))
                .isEqualTo(ExitCode.UNREACHABLE.number());
    }
}
