package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events. Bytes of an incomplete event are kept for the next call.
 */
final class EventSplitter {
    /** The maximum length of an event, in bytes; the events of all routes are far shorter. Bounds an endless event. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;
    private boolean onlyLineEnds = true;

    /**
     * A complete event.
     *
     * @param bytes its bytes, with the empty line that terminates it
     * @param id its id; empty if it has no numeric one
     */
    record Event(ByteBuffer bytes, OptionalLong id) {}

    /** Consumes bytes and returns the events that they complete. */
    List<Event> split(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (tooLong()) {
                continue;
            }
            pending.write(b);
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                lineEmpty = false;
                onlyLineEnds = false;
                continue;
            }
            if (lineEmpty && !onlyLineEnds) {
                events.add(event(pending.toByteArray()));
                pending.reset();
                onlyLineEnds = true;
            }
            lineEmpty = true;
        }
        return events;
    }

    /** Returns whether the incomplete event exceeds the maximum length. */
    boolean tooLong() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    /** Returns whether there is an incomplete event; line ends between events begin none. */
    boolean withinEvent() {
        return !onlyLineEnds;
    }

    /** Returns the bytes received since the last event. */
    ByteBuffer rest() {
        return ByteBuffer.wrap(pending.toByteArray());
    }

    private static Event event(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.startsWith(ID_FIELD))
                .findFirst()
                .map(l -> new Event(
                        ByteBuffer.wrap(bytes),
                        number(l.substring(ID_FIELD.length()).trim())))
                .orElse(new Event(ByteBuffer.wrap(bytes), OptionalLong.empty()));
    }

    /** Returns the id that a text states; empty if it is not numeric. */
    static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
