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
    void the_examples_are_valid(String name) throws IOException {
        assertThat(errorsOf(example(name))).isEmpty();
    }

    @Test
    void all_errors_of_a_document_are_reported_together() throws IOException {
        String invalid = example("target-settings.yaml")
                .replace("800000000", "800 MB")
                .replace("chunkFolder: /var/cache/bankturn", "chunkfolder: /var/cache/bankturn");
        assertThat(errorsOf(invalid))
                .extracting(DocumentError::code)
                .containsExactlyInAnyOrder(
                        ResultCode.FIELD_MISSING,
                        ResultCode.FIELD_INVALID,
                        ResultCode.FIELD_INVALID,
                        ResultCode.FIELD_UNKNOWN);
        assertThat(errorsOf(invalid))
                .allSatisfy(error -> assertThat(error.location().line()).isGreaterThan(11));
    }

    @Test
    void a_role_without_its_section_and_a_section_without_its_role_are_contradictory() throws IOException {
        String invalid = example("entry-settings.yaml").replace("roles: [entry, control]", "roles: [entry, target]");
        assertThat(errorsOf(invalid))
                .extracting(DocumentError::code)
                .containsOnly(ResultCode.FIELD_CONTRADICTORY)
                .hasSize(3);
    }

    @Property(tries = 200, seed = "20261202")
    void invalid_text_yields_errors_and_no_exception(@ForAll String text) {
        assertThat(errorsOf(text)).isNotEmpty();
    }
}
