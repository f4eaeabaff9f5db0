package org.baobabspindle.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.baobabspindle.core.id.Incarnation;

/** The shared secret by which entries authenticate each other. It is never sent over a connection. */
public final class PeerSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /**
     * Creates a secret from its text.
     *
     * @param secret the shared text
     */
    public PeerSecret(String secret) {
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns a new random nonce in hexadecimal digits. */
    static String newNonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the HMAC of a nonce and the entry that signs it, in hexadecimal digits. */
    String computeMac(String nonce, Incarnation from) {
        return sign(nonce + '/' + from);
    }

    /**
     * Signs a text.
     *
     * @param text the text
     * @return its HMAC in hexadecimal digits
     */
    public String sign(String text) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            byte[] bytes = mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform must support " + ALGORITHM, e);
        }
    }

    /** Returns whether a proof carries the right HMAC for a nonce. */
    boolean verify(String nonce, PeerMessage.Proof proof) {
        if (proof.from() == null || proof.mac() == null) {
            return false;
        }
        return verify(nonce + '/' + proof.from(), proof.mac());
    }

    /**
     * Returns whether a signature is that of a text. The comparison takes constant time.
     *
     * @param text the text
     * @param signature the HMAC that was received
     * @return whether it is the HMAC of the text
     */
    public boolean verify(String text, String signature) {
        byte[] expected = sign(text).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, signature.getBytes(StandardCharsets.UTF_8));
    }
}
