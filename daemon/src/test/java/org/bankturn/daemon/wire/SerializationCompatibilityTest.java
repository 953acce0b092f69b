package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.agreement.Snapshot;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedPart;
import org.bankturn.crash.PartCrash;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.SuspectPart;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetSighting;
import org.bankturn.state.ReplicatedState;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.state.query.ShowReply;
import org.bankturn.state.query.StatusReply;
import org.bankturn.storage.RaftStorage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against renamed record components that no longer match their serialized names, which loses data silently. */
class SerializationCompatibilityTest {
    private record Samples(List<byte[]> messages) {}

    static Stream<Arguments> serializedTypes() {
        return Stream.of(
                Arguments.of("agreement", RaftMessage.class),
                Arguments.of("agreement-snapshot", Snapshot.class),
                Arguments.of("command", Command.class),
                Arguments.of("command-result", CommandResult.class),
                Arguments.of("evacuation-node-reply", NodeReply.class),
                Arguments.of("evacuation-node-request", NodeRequest.class),
                Arguments.of("evacuation-publication", PublicationCommand.class),
                Arguments.of("evacuation-publication-state", recordIn(PublicationState.class)),
                Arguments.of("evacuation-publication-update", PublicationUpdate.class),
                Arguments.of("frame", Frame.class),
                Arguments.of("log-record", recordIn(RaftStorage.class)),
                Arguments.of("node-reply", NodeReply.class),
                Arguments.of("node-request", NodeRequest.class),
                Arguments.of("publication", PublicationCommand.class),
                Arguments.of("publication-state", recordIn(PublicationState.class)),
                Arguments.of("publication-update", PublicationUpdate.class),
                Arguments.of("replicated-state", recordIn(ReplicatedState.class)),
                Arguments.of("show-reply", ShowReply.class),
                Arguments.of("status-reply", StatusReply.class));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("serializedTypes")
    void messages_of_an_earlier_build_survive_a_round_trip(String file, Class<?> type) throws IOException {
        MessagePackCodec codec = MessagePackCodec.instance();
        List<byte[]> messages = codec.decode(read(file), Samples.class).messages();
        assertThat(messages).isNotEmpty();
        for (byte[] message : messages) {
            assertThat(codec.encode(codec.decode(message, type))).isEqualTo(message);
        }
    }

    /** Guards against gateways that take cold targets for warm because the field is lost on the way. */
    @Test
    void the_cold_time_of_a_target_survives_a_round_trip() {
        MessagePackCodec codec = MessagePackCodec.instance();
        TargetSighting cold = new TargetSighting("t", "t", 0, "chat", "10.0.0.1:80", "north", 4, false, 1, 7, 3_000);
        assertThat(codec.decode(codec.encode(cold), TargetSighting.class)).isEqualTo(cold);
        PublicationCommand command = new PublicationCommand.RecordTarget(cold, Evidence.UNDISPUTED);
        assertThat(codec.decode(codec.encode(command), PublicationCommand.class))
                .isEqualTo(command);
    }

    @Test
    void the_prompt_parts_of_a_crash_survive_a_round_trip() {
        MessagePackCodec codec = MessagePackCodec.instance();
        InterruptedPart part = new InterruptedPart("5c1e07a2", 1, List.of(new RequestFingerprint(1, 2)), 3, 4);
        PublicationCommand command = new PublicationCommand.RecordOutcomes(
                List.of(new EndedTarget("t1", List.of(new RequestFingerprint(1, 2)), List.of(part))),
                List.of(),
                List.of(new CompletedPart("91bd3f06", 3, 4)));
        assertThat(codec.decode(codec.encode(command), PublicationCommand.class))
                .isEqualTo(command);
        SuspectPart suspect = new SuspectPart(
                "5c1e07a2",
                1,
                List.of(new PartCrash("t1", List.of(new RequestFingerprint(1, 2)), 3, 4, 5)),
                2,
                5,
                1,
                "gateway",
                6);
        assertThat(codec.decode(codec.encode(suspect), SuspectPart.class)).isEqualTo(suspect);
    }

    /** Stored logs and snapshots of earlier builds have no cold time. */
    @Test
    void a_target_that_an_earlier_build_stored_is_warm() throws IOException {
        MessagePackCodec codec = MessagePackCodec.instance();
        List<PublicationCommand.RecordTarget> records =
                codec.decode(read("publication"), Samples.class).messages().stream()
                        .map(message -> codec.decode(message, PublicationCommand.class))
                        .filter(PublicationCommand.RecordTarget.class::isInstance)
                        .map(PublicationCommand.RecordTarget.class::cast)
                        .toList();
        assertThat(records).isNotEmpty();
        assertThat(records)
                .allSatisfy(each -> assertThat(each.sighting().coldMillis()).isZero());
    }

    private static byte[] read(String file) throws IOException {
        try (InputStream stream =
                SerializationCompatibilityTest.class.getResourceAsStream("/earlier-format/" + file + ".msgpack")) {
            return stream.readAllBytes();
        }
    }

    private static Class<?> recordIn(Class<?> owner) {
        return Arrays.stream(owner.getDeclaredClasses())
                .filter(Class::isRecord)
                .findFirst()
                .orElseThrow();
    }
}
