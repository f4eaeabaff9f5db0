package org.baobabspindle.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
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

/** Frames on the wire: a length of four bytes, a version byte and a MessagePack body. */
final class FrameCodec {
    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
    static final byte VERSION = 1;
    static final int HEADER_BYTES = 5;
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    private FrameCodec() {}

    static byte[] encode(PeerFrame frame) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(frame);
            if (body.length > MAX_FRAME_BYTES) {
                throw new IllegalArgumentException("a frame of " + body.length + " bytes is too large");
            }
            return body;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("every message must have a MessagePack form", e);
        }
    }

    static PeerFrame decode(byte[] body) throws IOException {
        checkLengths(body);
        try {
            PeerFrame frame = MAPPER.readValue(body, PeerFrame.class);
            if (frame == null || frame.message() == null) {
                throw new IOException("a frame without a message");
            }
            return frame;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new IOException("a malformed frame", e);
        }
    }

    /** Refuses values that claim to be longer than the body; the reader would make room for them first. */
    private static void checkLengths(byte[] body) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != body.length) {
                throw new IOException("a frame of more or less than one value");
            }
        } catch (MessagePackException e) {
            throw new IOException("a malformed frame", e);
        }
    }

    /** Returns a frame as it goes over the wire. */
    static ByteBuffer frame(PeerFrame frame) {
        byte[] body = encode(frame);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put(VERSION)
                .put(body)
                .flip();
    }

    /** Reads the header of a frame and returns the length of its body. */
    static int bodyLength(ByteBuffer header, int maxBytes) throws IOException {
        int length = header.getInt();
        if (length < 1 || length > maxBytes) {
            throw new IOException("a frame of " + length + " bytes is not allowed");
        }
        byte version = header.get();
        if (version != VERSION) {
            throw new IOException("frame version " + version + " is not known");
        }
        return length;
    }

    static int write(DataOutputStream out, PeerFrame frame) throws IOException {
        byte[] body = encode(frame);
        out.writeInt(body.length);
        out.writeByte(VERSION);
        out.write(body);
        out.flush();
        return body.length + HEADER_BYTES;
    }

    static PeerFrame read(DataInputStream in, int maxBytes) throws IOException {
        byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length < HEADER_BYTES) {
            throw new EOFException("the connection ended within a header");
        }
        int length = bodyLength(ByteBuffer.wrap(header), maxBytes);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended within a frame");
        }
        return decode(body);
    }
}
