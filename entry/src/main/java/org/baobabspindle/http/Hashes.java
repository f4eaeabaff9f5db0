package org.baobabspindle.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** SHA-256 hashes of text and bytes. */
public final class Hashes {
    private Hashes() {}

    /**
     * Returns the SHA-256 hash of the UTF-8 bytes of a text.
     *
     * @param text the text
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the SHA-256 hash of an array of bytes.
     *
     * @param bytes the bytes
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(byte[] bytes) {
        return sha256(List.of(ByteBuffer.wrap(bytes)));
    }

    /**
     * Returns the SHA-256 hash of the remaining bytes of buffers, one after another.
     *
     * @param buffers the buffers; afterwards nothing remains in them
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(List<ByteBuffer> buffers) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            buffers.forEach(digest::update);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
