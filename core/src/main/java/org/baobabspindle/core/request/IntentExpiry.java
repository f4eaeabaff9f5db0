package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Optional;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.IntentsExpired;

/**
 * Remembers how far the log had come at past times, so that intents older than their lifetime can be let go. Times are
 * when this entry read the records, which is never before they were written. Not safe for use by several threads.
 */
public final class IntentExpiry {
    /** How long a key without a ticket belongs to the entry that won it. */
    public static final Duration LIFETIME = Duration.ofHours(24);

    private static final Duration SAMPLED_EVERY = Duration.ofMinutes(10);

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** Creates an entry's memory of a log that it has not read yet. */
    public IntentExpiry() {}

    private record Sample(Instant at, LogOffset next) {}

    /**
     * Notes how far the log has come and tells which intents are past their lifetime.
     *
     * @param now the present time
     * @param next the offset after the last record read
     * @return the record to append, or empty if nothing has become due
     */
    public Optional<IntentsExpired> poll(Instant now, LogOffset next) {
        boolean due = samples.isEmpty()
                || !samples.peekLast().at().plus(SAMPLED_EVERY).isAfter(now);
        if (due) {
            samples.addLast(new Sample(now, next));
        }
        Sample oldest = samples.peekFirst();
        if (oldest.at().plus(LIFETIME).isAfter(now)) {
            return Optional.empty();
        }
        samples.removeFirst();
        boolean any = oldest.next().value() > 0;
        return any ? Optional.of(new IntentsExpired(LogOffset.of(oldest.next().value() - 1))) : Optional.empty();
    }
}
