package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.publication.PublicationCommand;
import org.junit.jupiter.api.Test;

/** Whatever a frame holds, it is decoded or rejected with an exception that its channel handles, without much memory. */
class FrameDecodingPropertyTest {
    private static final byte[] FRAME = MessagePackCodec.instance()
            .encode(new Frame(
                    7,
                    new NodeRequest.ProposePublication(new PublicationCommand.RecordOutcomes(
                            List.of(new EndedTarget("t1", List.of(new RequestFingerprint(1, 2)), List.of())),
                            List.of(),
                            List.of())),
                    null));

    @Property(seed = "1", tries = 5_000)
    void a_frame_with_a_changed_byte_is_decoded_or_rejected(
            @ForAll @IntRange(min = 0, max = 10_000) int position, @ForAll byte value) {
        byte[] changed = FRAME.clone();
        changed[position % changed.length] = value;
        decode(changed);
    }

    @Property(seed = "1", tries = 1_000)
    void a_cut_frame_is_decoded_or_rejected(@ForAll @IntRange(min = 0, max = 10_000) int size) {
        decode(Arrays.copyOf(FRAME, size % FRAME.length));
    }

    @Property(seed = "1", tries = 5_000)
    void arbitrary_bytes_are_decoded_or_rejected(@ForAll byte[] bytes) {
        decode(bytes);
    }

    /** Guards against memory being allocated for the announced size of a value that is not there. */
    @Test
    void a_value_that_announces_more_bytes_than_the_frame_has_is_rejected() {
        byte[] huge = {
            (byte) 0x81,
            (byte) 0xa7,
            'r',
            'e',
            'q',
            'u',
            'e',
            's',
            't',
            (byte) 0xc6,
            0x7f,
            (byte) 0xff,
            (byte) 0xff,
            (byte) 0xf0
        };
        assertThat(decode(huge)).isFalse();
    }

    /** Returns false if the bytes are rejected. */
    private static boolean decode(byte[] bytes) {
        try {
            return MessagePackCodec.instance().decode(bytes, Frame.class) != null;
        } catch (RuntimeException e) {
            return false;
        }
    }
}
