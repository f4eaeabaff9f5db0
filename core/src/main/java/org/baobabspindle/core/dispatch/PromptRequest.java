package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.BatchParameters;
import org.baobabspindle.core.time.Moment;

/**
 * What the choice of a group by prompt tokens needs to know about a request.
 *
 * @param promptTokens the number of prompt tokens, at least 1
 * @param targetLatency the time to the first event up to which the request is on time
 * @param dueAt the time by which the first event has to arrive for that
 * @param targetGap the interval between two events up to which its stream is on time
 */
public record PromptRequest(long promptTokens, Duration targetLatency, Moment dueAt, Duration targetGap) {
    /** The maximum number of prompt tokens that a caller may state; larger than the context of any model. */
    private static final long MAX_PROMPT_TOKENS = 2_000_000;

    /**
     * Reads the number of prompt tokens that a caller states. A request without a valid number counts as a usual one.
     *
     * @param header the number of prompt tokens, optionally followed by a comma and other numbers; may be null
     * @param batch the parameters with the mean number
     * @return the number of prompt tokens, at least 1
     */
    public static long promptTokens(String header, BatchParameters batch) {
        return parse(header).filter(n -> n >= 1 && n <= MAX_PROMPT_TOKENS).orElse((long) batch.meanPromptTokens());
    }

    private static Optional<Long> parse(String header) {
        if (header == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(header.split(",", 2)[0].trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether a step cannot read the whole prompt, so that it delays several passes of a batch.
     *
     * @param batch the parameters of the batch
     * @return whether the prompt is long
     */
    public boolean isLong(BatchParameters batch) {
        return promptTokens > batch.chunkTokens();
    }

    /**
     * Returns the time left until the first event is due.
     *
     * @param now the present time
     * @return the time in milliseconds; negative if the request is late
     */
    public double millisLeft(Moment now) {
        return (dueAt.monotonicNanos() - now.monotonicNanos()) / 1e6;
    }
}
