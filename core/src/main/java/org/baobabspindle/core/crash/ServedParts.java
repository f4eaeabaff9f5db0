package org.baobabspindle.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;

/** The prompt parts of complete answers, the most recently served ones. */
final class ServedParts {
    private static final int MAX_PARTS = 10_000;

    private final Map<CrashCause, Moment> servedAt = new LinkedHashMap<>(16, 0.75f, true);

    void record(CrashCause part, Moment at) {
        servedAt.merge(part, at, ServedParts::later);
        if (servedAt.size() > MAX_PARTS) {
            servedAt.remove(servedAt.keySet().iterator().next());
        }
    }

    Optional<Moment> lastServed(CrashCause part) {
        return Optional.ofNullable(servedAt.get(part));
    }

    static Moment later(Moment a, Moment b) {
        return a.isBefore(b) ? b : a;
    }
}
