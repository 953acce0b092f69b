package org.bankturn.codec;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses and decompresses documents with DEFLATE in the zlib format. */
public final class DeflateCodec {
    private static final int BUFFER_BYTES = 8_192;

    private DeflateCodec() {}

    /** Compresses bytes. */
    public static byte[] deflate(byte[] uncompressed) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(uncompressed);
            deflater.finish();
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses bytes.
     *
     * @throws IllegalArgumentException if the bytes are not valid compressed data
     */
    public static byte[] inflate(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int size = inflater.inflate(buffer);
                if (size == 0 && !inflater.finished()) {
                    throw new IllegalArgumentException("compressed data is truncated");
                }
                output.write(buffer, 0, size);
            }
            return output.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("invalid compressed data", e);
        } finally {
            inflater.end();
        }
    }
}
