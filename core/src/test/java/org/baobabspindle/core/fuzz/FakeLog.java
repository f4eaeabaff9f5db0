package org.baobabspindle.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.id.LogOffset;

/** An in-memory log that can be made unavailable. */
final class FakeLog {
    private final List<String> records = new ArrayList<>();
    private boolean down;

    boolean isDown() {
        return down;
    }

    void setDown(boolean unavailable) {
        down = unavailable;
    }

    void append(String line) {
        records.add(line);
    }

    LogOffset head() {
        return LogOffset.of(records.size());
    }

    String at(LogOffset offset) {
        return records.get((int) offset.value());
    }
}
