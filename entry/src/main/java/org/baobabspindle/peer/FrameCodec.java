package org.baobabspindle.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes frames. A frame is a length of four bytes (big-endian, of the body only), a version byte and a
 * MessagePack body.
 */
final class FrameCodec {
    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
    static final byte VERSION = 1;
    static final int HEADER_BYTES = 5;

    /** Ignores fields that it does not know, since entries of later releases may send them. */
    private static final ObjectMapper MAPPER =
            new MessagePackMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private FrameCodec() {}

    /** Encodes the body of a frame. */
    static byte[] encodeBody(PeerFrame frame) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(frame);
            if (body.length > MAX_FRAME_BYTES) {
                throw new IllegalArgumentException("frame body of " + body.length + " bytes is too large");
            }
            return body;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("message cannot be encoded as MessagePack", e);
        }
    }

    /**
     * Decodes the body of a frame.
     *
     * @throws IOException if the body is malformed
     */
    static PeerFrame decodeBody(byte[] body) throws IOException {
        checkSingleValue(body);
        try {
            PeerFrame frame = MAPPER.readValue(body, PeerFrame.class);
            if (frame == null || frame.message() == null) {
                throw new IOException("frame contains no message");
            }
            return frame;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new IOException("malformed frame", e);
        }
    }

    /** Rejects values whose declared length exceeds the body, because the decoder allocates that length before it reads. */
    private static void checkSingleValue(byte[] body) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != body.length) {
                throw new IOException("frame body is not exactly one MessagePack value");
            }
        } catch (MessagePackException e) {
            throw new IOException("malformed frame", e);
        }
    }

    /** Encodes a frame with its header. */
    static ByteBuffer encode(PeerFrame frame) {
        byte[] body = encodeBody(frame);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put(VERSION)
                .put(body)
                .flip();
    }

    /**
     * Reads the header of a frame and returns the length of its body in bytes.
     *
     * @throws IOException if the length is not between 1 and {@code maxBytes} or the version is not supported
     */
    static int readBodyLength(ByteBuffer header, int maxBytes) throws IOException {
        int length = header.getInt();
        if (length < 1 || length > maxBytes) {
            throw new IOException("frame body length of " + length + " bytes is out of range");
        }
        byte version = header.get();
        if (version != VERSION) {
            throw new IOException("frame version " + version + " is not supported");
        }
        return length;
    }

    /** Writes a frame with its header and returns its size in bytes. */
    static int write(DataOutputStream out, PeerFrame frame) throws IOException {
        byte[] body = encodeBody(frame);
        out.writeInt(body.length);
        out.writeByte(VERSION);
        out.write(body);
        out.flush();
        return body.length + HEADER_BYTES;
    }

    /** Reads a frame with its header, whose body must not exceed {@code maxBytes}. */
    static PeerFrame read(DataInputStream in, int maxBytes) throws IOException {
        byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length < HEADER_BYTES) {
            throw new EOFException("connection closed within a frame header");
        }
        int length = readBodyLength(ByteBuffer.wrap(header), maxBytes);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed within a frame body");
        }
        return decodeBody(body);
    }
}
