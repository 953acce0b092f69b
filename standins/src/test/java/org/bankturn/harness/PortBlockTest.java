package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PortBlockTest {
    private static final int PORTS = 60;

    /** The default start of the ephemeral port range. */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    /** Guards against "Address already in use" when an outgoing connection takes a port before the daemon binds it. */
    @Test
    void the_ports_of_a_deployment_are_not_given_to_outgoing_connections() throws Exception {
        PortBlock ports = PortBlock.claim(PORTS);
        assertThat(IntStream.range(0, PORTS).map(number -> ports.next())).allMatch(port -> port < FIRST_EPHEMERAL_PORT);
    }

    @Test
    void two_deployments_have_no_port_in_common() throws Exception {
        PortBlock one = PortBlock.claim(PORTS);
        PortBlock other = PortBlock.claim(PORTS);
        int[] ports = IntStream.range(0, PORTS).map(number -> one.next()).toArray();
        assertThat(IntStream.range(0, PORTS).map(number -> other.next()).toArray())
                .doesNotContain(ports);
    }
}
