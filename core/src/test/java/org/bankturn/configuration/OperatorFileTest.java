package org.bankturn.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bankturn.document.DocumentError;
import org.bankturn.result.ResultCode;
import org.junit.jupiter.api.Test;

class OperatorFileTest {
    private static final String VALID_FILE = """
            name: donor
            number: 1
            dataHalls:
              - {name: puget, region: northwest}
            services:
              - {name: booking, requestsAtOnce: 4}
            boxes:
              - name: box-1
                dataHall: puget
                service: booking
                httpAddress: 10.0.0.1:7000
                nodeAddress: 10.0.0.1:7001
            clientAccounts:
              - {name: red, weight: 2, dataHalls: [puget]}
            """;

    private static List<DocumentError> check(String text) {
        return Configuration.empty().check("donor.yaml", text);
    }

    @Test
    void valid_file_has_no_errors() {
        assertThat(check(VALID_FILE)).isEmpty();
    }

    @Test
    void all_errors_are_reported_with_code_line_and_field() {
        String invalid = VALID_FILE
                .replace("requestsAtOnce: 4", "requestsAtOnce: many, speed: 3")
                .replace("weight: 2", "weight: 0")
                .replace("number: 1", "numbre: 1");
        List<DocumentError> errors = check(invalid);
        assertThat(errors)
                .extracting(DocumentError::code)
                .contains(ResultCode.FIELD_MISSING, ResultCode.FIELD_UNKNOWN, ResultCode.FIELD_INVALID);
        assertThat(errors)
                .anySatisfy(error -> assertThat(error.toString())
                        .startsWith("1004 donor.yaml:6:")
                        .contains("services[0].requestsAtOnce"));
        assertThat(errors).hasSize(5);
    }

    @Test
    void undefined_reference_is_reported_with_its_location() {
        List<DocumentError> errors = check(VALID_FILE.replace("dataHall: puget\n", "dataHall: pugit\n"));
        assertThat(errors).hasSize(1);
        assertThat(errors.get(0).code()).isEqualTo(ResultCode.REFERENCE_UNKNOWN);
        assertThat(errors.get(0).location().line()).isEqualTo(9);
    }

    @Test
    void definition_referenced_by_another_file_cannot_be_removed() {
        FileRecord halls = new FileRecord(
                "halls", 1, 1, "a", "", "name: halls\nnumber: 1\ndataHalls:\n  - {name: puget, region: north}\n");
        String accounts = """
                name: accounts
                number: 1
                clientAccounts: [{name: red, weight: 1, dataHalls: [puget]}]
                """;
        Configuration configuration =
                Configuration.empty().withFile(halls).withFile(new FileRecord("accounts", 1, 2, "a", "", accounts));
        List<DocumentError> errors = configuration.check("halls.yaml", "name: halls\nnumber: 2\n");
        assertThat(errors).extracting(DocumentError::code).containsExactly(ResultCode.REFERENCE_UNKNOWN);
        assertThat(errors.get(0).location().file()).isEqualTo("accounts");
    }

    @Test
    void duplicate_key_is_rejected() {
        assertThat(check(VALID_FILE + "name: again\n"))
                .extracting(DocumentError::code)
                .contains(ResultCode.FILE_UNREADABLE);
    }

    @Property(tries = 300, seed = "20261202")
    void arbitrary_text_does_not_make_the_parser_throw(@ForAll String text) {
        assertThat(check(text)).isNotNull();
    }

    @Property(tries = 300, seed = "20261202")
    void replacing_a_character_does_not_make_the_parser_throw(@ForAll int position, @ForAll char replacement) {
        StringBuilder corrupted = new StringBuilder(VALID_FILE);
        corrupted.setCharAt(Math.floorMod(position, VALID_FILE.length()), replacement);
        assertThat(check(corrupted.toString())).isNotNull();
    }
}
