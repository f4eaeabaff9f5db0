package org.baobabspindle.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the SHA-256 hashes of account tokens for configurations. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Returns the SHA-256 hash of the UTF-8 encoding of a text.
     *
     * @param text the text
     * @return the hash as 64 lower-case hexadecimal digits
     */
    public static String hex(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 must be supported by every Java platform", e);
        }
    }
}
