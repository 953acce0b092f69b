package org.bankturn.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
    private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

    @Test
    void documentation_table_matches_the_enum() throws IOException {
        String expected = Arrays.stream(ResultCode.values())
                .map(code -> "| " + code.number() + " | " + code.name() + " | " + code.httpStatus() + " | "
                        + (code.isNotRun() ? "yes" : "") + " | " + code.description() + " |")
                .collect(Collectors.joining("\n"));
        assertThat(Files.readString(TABLE)).contains(expected);
    }

    @Test
    void numbers_are_unique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }
}
