package org.baobabspindle.core.request;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.RequestKey;

/**
 * The prefix that an entry gives out for idempotency keys: it names the only entry that may run requests with such keys
 * and when it was given out.
 *
 * @param home the entry
 * @param issuedAt when it was given out, by the clock of the entry that gave it, to the second
 */
public record Ticket(Incarnation home, Instant issuedAt) {
    /** How long after it was given out a prefix may be used in keys. */
    public static final Duration LIFETIME = Duration.ofHours(1);

    /** How long the home remembers a key after its first use, so that no clock difference lets it run twice. */
    public static final Duration KEY_RETENTION = LIFETIME.multipliedBy(2);

    private static final String MARK = "bs1:";
    private static final char SEPARATOR = ':';
    private static final int RADIX = 36;

    /**
     * Reads the prefix of a key.
     *
     * @param key the key
     * @return the prefix, or empty if the key has none
     */
    public static Optional<Ticket> of(RequestKey key) {
        String text = key.value();
        if (!text.startsWith(MARK)) {
            return Optional.empty();
        }
        int afterHome = text.indexOf(SEPARATOR, MARK.length());
        int afterTime = afterHome < 0 ? -1 : text.indexOf(SEPARATOR, afterHome + 1);
        if (afterTime < 0) {
            return Optional.empty();
        }
        try {
            Incarnation home = Incarnation.parse(text.substring(MARK.length(), afterHome));
            long seconds = Long.parseLong(text.substring(afterHome + 1, afterTime), RADIX);
            return Optional.of(new Ticket(home, Instant.ofEpochSecond(seconds)));
        } catch (IllegalArgumentException | DateTimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text to put before a caller's own key.
     *
     * @return the prefix with its final separator
     */
    public String prefix() {
        return MARK + home + SEPARATOR + Long.toString(issuedAt.getEpochSecond(), RADIX) + SEPARATOR;
    }

    /**
     * Tells whether keys with this prefix are past their lifetime. The clock of the entry that gave the prefix out may
     * differ from that of the home by up to the lifetime.
     *
     * @param now the present time by the clock of the home
     * @return whether the prefix has expired or lies too far in the future
     */
    public boolean isExpired(Instant now) {
        return !issuedAt.plus(LIFETIME).isAfter(now) || issuedAt.isAfter(now.plus(LIFETIME));
    }
}
