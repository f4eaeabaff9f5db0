package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.baobabspindle.http.Hashes;
import org.baobabspindle.peer.PeerMessage;

/**
 * Converts long contents of records to what other entries receive, and back: compressed, or only named if the receiver
 * holds the content already. The last few contents are kept in all forms, since a content is sent to many entries.
 */
final class LongContents {
    /** The size from which a content is converted, in bytes; shorter ones fit into a few packets. */
    static final int MIN_BYTES = 4 * 1024;

    /** The largest content that is accepted from another entry, in bytes; twice the largest frame. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final int MAX_KEPT = 4;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final Deque<Form> kept = new ArrayDeque<>();

    /** A content in all forms. */
    private static final class Form {
        private final byte[] plain;
        private final String digest;
        private final ByteBuffer compressed;

        Form(byte[] plain, String digest, ByteBuffer compressed) {
            this.plain = plain;
            this.digest = digest;
            this.compressed = compressed;
        }
    }

    /** Thrown if a content of another entry cannot be restored. */
    static final class InvalidContentException extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvalidContentException(String message) {
            super(message);
        }
    }

    static boolean isLong(byte[] content) {
        return content.length >= MIN_BYTES;
    }

    /** Returns the digest by which a content is named. */
    String digest(byte[] content) {
        return form(content).digest;
    }

    /**
     * Converts a content for another entry.
     *
     * @param index the position of its record in the message
     * @param content the content
     * @param held the digest of a content that the receiver holds
     */
    PeerMessage.LongContent encode(int index, byte[] content, String held) {
        Form f = form(content);
        return new PeerMessage.LongContent(index, f.digest, f.digest.equals(held) ? null : f.compressed);
    }

    /**
     * Restores a content.
     *
     * @param received what the other entry sent
     * @param held a content that this entry held when it sent its request
     */
    synchronized byte[] decode(PeerMessage.LongContent received, Optional<byte[]> held) {
        if (received.compressed() == null) {
            return held.filter(h -> digest(h).equals(received.digest()))
                    .orElseThrow(() -> new InvalidContentException("content " + received.digest() + " is not held"));
        }
        Optional<Form> known = find(f -> f.digest.equals(received.digest()));
        if (known.isPresent()) {
            return known.get().plain;
        }
        byte[] plain = decompress(received.compressed());
        String digest = Hashes.sha256(plain);
        if (!digest.equals(received.digest())) {
            throw new InvalidContentException("content " + received.digest() + " has the digest " + digest);
        }
        return keep(new Form(plain, digest, received.compressed())).plain;
    }

    private synchronized Form form(byte[] plain) {
        return find(f -> Arrays.equals(f.plain, plain))
                .orElseGet(() -> keep(new Form(plain, Hashes.sha256(plain), compress(plain))));
    }

    private Optional<Form> find(Predicate<Form> condition) {
        return kept.stream().filter(condition).findFirst();
    }

    private Form keep(Form f) {
        kept.addFirst(f);
        if (kept.size() > MAX_KEPT) {
            kept.removeLast();
        }
        return f;
    }

    private static ByteBuffer compress(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return ByteBuffer.wrap(out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    private static byte[] decompress(ByteBuffer compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed.duplicate());
            ByteArrayOutputStream out = new ByteArrayOutputStream(compressed.remaining() * 8);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new InvalidContentException("a compressed content is incomplete");
                }
                out.write(buffer, 0, count);
                if (out.size() > MAX_BYTES) {
                    throw new InvalidContentException("a content is longer than " + MAX_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new InvalidContentException("a compressed content is malformed: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
