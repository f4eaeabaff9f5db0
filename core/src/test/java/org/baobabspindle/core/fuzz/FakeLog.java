package org.baobabspindle.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.id.LogOffset;

/** The log of the world: a list with an end, which can be away. */
final class FakeLog {
    private final List<String> records = new ArrayList<>();
    private boolean down;

    boolean isDown() {
        return down;
    }

    void setDown(boolean away) {
        down = away;
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
