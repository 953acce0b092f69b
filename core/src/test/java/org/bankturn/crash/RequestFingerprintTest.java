package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
    private static final RequestFingerprint FINGERPRINT = of("/x/1", "acme", "body");

    @Test
    void the_same_path_caller_and_body_have_the_same_fingerprint() {
        assertThat(of("/x/1", "acme", "body")).isEqualTo(FINGERPRINT);
    }

    @Test
    void another_path_caller_or_body_has_another_fingerprint() {
        assertThat(of("/x/2", "acme", "body")).isNotEqualTo(FINGERPRINT);
        assertThat(of("/x/1", "other", "body")).isNotEqualTo(FINGERPRINT);
        assertThat(of("/x/1", "acme", "bodyguard")).isNotEqualTo(FINGERPRINT);
        assertThat(of("/x/1a", "cme", "body")).isNotEqualTo(FINGERPRINT);
    }

    @Test
    void a_fingerprint_is_parsed_from_its_string_form() {
        assertThat(RequestFingerprint.parse(FINGERPRINT.toString())).isEqualTo(FINGERPRINT);
    }

    @Test
    void malformed_fingerprints_are_rejected() {
        assertThatThrownBy(() -> RequestFingerprint.parse("12")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> RequestFingerprint.parse("z".repeat(32))).isInstanceOf(IllegalArgumentException.class);
    }

    private static RequestFingerprint of(String path, String caller, String body) {
        return RequestFingerprint.of(path, caller, body.getBytes(StandardCharsets.UTF_8));
    }
}
