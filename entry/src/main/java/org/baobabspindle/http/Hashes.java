package org.baobabspindle.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

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
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
