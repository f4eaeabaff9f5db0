package org.baobabspindle.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes tokens for configurations. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Returns the SHA-256 of a text in UTF-8.
     *
     * @param text the text
     * @return 64 lower-case hexadecimal digits
     */
    public static String hex(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
