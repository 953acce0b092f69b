package org.bankturn.codec;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Makes documents small for the log and for links between data halls. */
public final class DeflateCodec {
    private static final int BUFFER_BYTES = 8_192;

    private DeflateCodec() {}

    /** Returns the deflated bytes. */
    public static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(plain);
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

    /** Returns the plain bytes; throws IllegalArgumentException if these were not deflated. */
    public static byte[] inflate(byte[] deflated) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int size = inflater.inflate(buffer);
                if (size == 0 && !inflater.finished()) {
                    throw new IllegalArgumentException("deflated bytes are cut short");
                }
                output.write(buffer, 0, size);
            }
            return output.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("not deflated", e);
        } finally {
            inflater.end();
        }
    }
}
