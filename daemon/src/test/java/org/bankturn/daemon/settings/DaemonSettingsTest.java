package org.bankturn.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bankturn.document.DocumentError;
import org.bankturn.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DaemonSettingsTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static String example(String name) throws IOException {
        return Files.readString(EXAMPLES.resolve(name));
    }

    private static List<DocumentError> errorsOf(String text) {
        return DaemonSettingsReader.read("settings.yaml", text).errors();
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-settings.yaml", "target-settings.yaml"})
    void the_examples_are_good(String name) throws IOException {
        assertThat(errorsOf(example(name))).isEmpty();
    }

    @Test
    void an_unknown_key_a_wrong_unit_and_a_missing_value_are_listed_together() throws IOException {
        String bad = example("target-settings.yaml")
                .replace("800000000", "800 MB")
                .replace("chunkFolder: /var/cache/bankturn", "chunkfolder: /var/cache/bankturn");
        assertThat(errorsOf(bad))
                .extracting(DocumentError::code)
                .containsExactlyInAnyOrder(
                        ResultCode.FIELD_MISSING,
                        ResultCode.FIELD_INVALID,
                        ResultCode.FIELD_INVALID,
                        ResultCode.FIELD_UNKNOWN);
        assertThat(errorsOf(bad))
                .allSatisfy(error -> assertThat(error.location().line()).isGreaterThan(11));
    }

    @Test
    void a_role_without_its_section_and_a_section_without_its_role_contradict() throws IOException {
        String bad = example("entry-settings.yaml").replace("roles: [entry, control]", "roles: [entry, target]");
        assertThat(errorsOf(bad))
                .extracting(DocumentError::code)
                .containsOnly(ResultCode.FIELD_CONTRADICTORY)
                .hasSize(3);
    }

    @Property(tries = 200, seed = "20261202")
    void no_text_makes_the_reader_fail(@ForAll String text) {
        assertThat(errorsOf(text)).isNotEmpty();
    }
}
