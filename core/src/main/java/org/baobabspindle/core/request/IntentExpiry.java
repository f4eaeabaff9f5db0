package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Optional;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.IntentsExpired;

/**
 * Determines which intents have exceeded their lifetime, from samples of the log offset over time. An intent is the log
 * record by which an entry claims an idempotency key without a ticket. Samples carry the time at which this entry read
 * the records, which is never before they were written, so no intent expires early. This class is not thread-safe.
 */
public final class IntentExpiry {
    /** How long a key without a ticket is reserved for the entry whose intent came first in the log. */
    public static final Duration LIFETIME = Duration.ofHours(24);

    private static final Duration SAMPLE_INTERVAL = Duration.ofMinutes(10);

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** Creates an instance without samples. */
    public IntentExpiry() {}

    private record Sample(Instant takenAt, LogOffset next) {}

    /**
     * Samples the log offset when a sample is due and returns the record that expires old intents.
     *
     * @param now the current time
     * @param next the offset after the last record read
     * @return the record to append to the log, or empty if no further intents have expired
     */
    public Optional<IntentsExpired> poll(Instant now, LogOffset next) {
        boolean sampleDue = samples.isEmpty()
                || !samples.peekLast().takenAt().plus(SAMPLE_INTERVAL).isAfter(now);
        if (sampleDue) {
            samples.addLast(new Sample(now, next));
        }
        Sample oldest = samples.peekFirst();
        if (oldest.takenAt().plus(LIFETIME).isAfter(now)) {
            return Optional.empty();
        }
        samples.removeFirst();
        boolean hasRecords = oldest.next().value() > 0;
        return hasRecords
                ? Optional.of(new IntentsExpired(LogOffset.of(oldest.next().value() - 1)))
                : Optional.empty();
    }
}
