package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits an event stream into whole events. Bytes of an event that has not ended stay behind. */
final class EventSplitter {
    /** The longest event, in bytes; events of all routes are far shorter, and bytes without end hold none. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream open = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * A whole event.
     *
     * @param bytes its bytes with the empty line that ends it
     * @param id its id, if it has a numeric one
     */
    record Event(ByteBuffer bytes, OptionalLong id) {}

    /** Takes bytes and returns the events that they end. */
    List<Event> split(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (tooLong()) {
                continue;
            }
            open.write(b);
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                lineEmpty = false;
                continue;
            }
            if (lineEmpty && open.size() > 2) {
                events.add(event(open.toByteArray()));
                open.reset();
            }
            lineEmpty = true;
        }
        return events;
    }

    /** Returns whether the open event is longer than any may be. */
    boolean tooLong() {
        return open.size() > MAX_EVENT_BYTES;
    }

    /** Returns whether an event has begun and not ended. */
    boolean withinEvent() {
        return open.size() > 0;
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

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
