package org.bankturn.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bankturn.document.DocumentError;
import org.bankturn.result.ResultCode;
import org.junit.jupiter.api.Test;

class OperatorFileTest {
    private static final String GOOD = """
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
    void a_good_file_has_no_errors() {
        assertThat(check(GOOD)).isEmpty();
    }

    @Test
    void every_error_is_listed_at_once_with_code_line_and_field() {
        String bad = GOOD.replace("requestsAtOnce: 4", "requestsAtOnce: many, speed: 3")
                .replace("weight: 2", "weight: 0")
                .replace("number: 1", "numbre: 1");
        List<DocumentError> errors = check(bad);
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
    void a_name_that_nothing_describes_is_found_with_its_place() {
        List<DocumentError> errors = check(GOOD.replace("dataHall: puget\n", "dataHall: pugit\n"));
        assertThat(errors).hasSize(1);
        assertThat(errors.get(0).code()).isEqualTo(ResultCode.REFERENCE_UNKNOWN);
        assertThat(errors.get(0).location().line()).isEqualTo(9);
    }

    @Test
    void a_file_may_not_take_away_what_another_refers_to() {
        FileRecord halls = new FileRecord(
                "halls", 1, 1, "a", "", "name: halls\nnumber: 1\ndataHalls:\n  - {name: puget, region: north}\n");
        String accounts = """
                name: accounts
                number: 1
                clientAccounts: [{name: red, weight: 1, dataHalls: [puget]}]
                """;
        Configuration both =
                Configuration.empty().withFile(halls).withFile(new FileRecord("accounts", 1, 2, "a", "", accounts));
        List<DocumentError> errors = both.check("halls.yaml", "name: halls\nnumber: 2\n");
        assertThat(errors).extracting(DocumentError::code).containsExactly(ResultCode.REFERENCE_UNKNOWN);
        assertThat(errors.get(0).location().file()).isEqualTo("accounts");
    }

    @Test
    void a_key_given_twice_is_refused() {
        assertThat(check(GOOD + "name: again\n"))
                .extracting(DocumentError::code)
                .contains(ResultCode.FILE_UNREADABLE);
    }

    @Property(tries = 300, seed = "20261202")
    void no_text_makes_the_reader_fail(@ForAll String text) {
        assertThat(check(text)).isNotNull();
    }

    @Property(tries = 300, seed = "20261202")
    void no_damage_to_a_good_file_makes_the_reader_fail(@ForAll int position, @ForAll char put) {
        StringBuilder damaged = new StringBuilder(GOOD);
        damaged.setCharAt(Math.floorMod(position, GOOD.length()), put);
        assertThat(check(damaged.toString())).isNotNull();
    }
}
