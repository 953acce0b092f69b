package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PortBlockTest {
    private static final int PORTS = 60;

    /** Where systems begin to take ports for outgoing connections, if they are not told otherwise. */
    private static final int FIRST_OUTGOING_PORT = 32_768;

    /**
     * A process of a deployment could not listen, "Address already in use", while another deployment ran on the same machine:
     * its port had been found free among those that the system gives to outgoing connections, and let go before the process
     * started.
     */
    @Test
    void the_ports_of_a_deployment_are_not_given_to_outgoing_connections() throws Exception {
        PortBlock ports = PortBlock.claim(PORTS);
        assertThat(IntStream.range(0, PORTS).map(number -> ports.next())).allMatch(port -> port < FIRST_OUTGOING_PORT);
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
