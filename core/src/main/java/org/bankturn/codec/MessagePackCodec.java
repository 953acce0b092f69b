package org.bankturn.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes records as MessagePack.
 *
 * <p>It is used for messages between bankturn processes and for files in their data folders. Unknown fields are ignored
 * for compatibility between versions.
 *
 * <p>MessagePackCodec is thread-safe and immutable.
 */
public final class MessagePackCodec {
    private static final MessagePackCodec INSTANCE = new MessagePackCodec();

    private final ObjectMapper mapper;

    /** Returns the shared codec, not null. */
    public static MessagePackCodec instance() {
        return INSTANCE;
    }

    private MessagePackCodec() {
        mapper = new MessagePackMapper();
        mapper.registerModule(new ParameterNamesModule());
        mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    /**
     * Encodes a record.
     *
     * @param value the record, not null
     * @return the MessagePack bytes, not null
     */
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /** Rejects values that announce more bytes than there are, for which the decoder would allocate the memory. */
    private static void requireComplete(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
        } catch (MessagePackException e) {
            throw new IOException("value is incomplete or malformed", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the MessagePack bytes, not null
     * @param type the record's type, or the sealed interface it implements, not null
     * @return the record, not null
     * @throws UncheckedIOException if the bytes do not describe the type
     */
    public <T> T decode(byte[] bytes, Class<T> type) {
        try {
            requireComplete(bytes);
            return mapper.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode " + type.getName(), e);
        }
    }
}
