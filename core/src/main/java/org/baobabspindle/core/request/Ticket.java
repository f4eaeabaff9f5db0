package org.baobabspindle.core.request;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.RequestKey;

/**
 * A ticket: the prefix that an entry issues for idempotency keys. It names the only entry that may run requests with
 * such keys, and the time of issue.
 *
 * @param home the only entry that may run the requests
 * @param issuedAt the time of issue by the clock of the issuing entry, in whole seconds
 */
public record Ticket(Incarnation home, Instant issuedAt) {
    /** How long after its issue a ticket may be used in keys. */
    public static final Duration LIFETIME = Duration.ofHours(1);

    /**
     * How long the home retains a key after its first use. Twice the ticket lifetime, because {@link #isExpired}
     * accepts tickets from clocks that are ahead by up to the lifetime; no clock difference then lets a request run
     * twice.
     */
    public static final Duration KEY_RETENTION = LIFETIME.multipliedBy(2);

    private static final String MARKER = "bs1:";
    private static final char SEPARATOR = ':';
    private static final int RADIX = 36;

    /**
     * Parses the ticket of a key.
     *
     * @param key the key
     * @return the ticket, or empty if the key has none
     */
    public static Optional<Ticket> of(RequestKey key) {
        String text = key.value();
        if (!text.startsWith(MARKER)) {
            return Optional.empty();
        }
        int homeEnd = text.indexOf(SEPARATOR, MARKER.length());
        int timeEnd = homeEnd < 0 ? -1 : text.indexOf(SEPARATOR, homeEnd + 1);
        if (timeEnd < 0) {
            return Optional.empty();
        }
        try {
            Incarnation home = Incarnation.parse(text.substring(MARKER.length(), homeEnd));
            long seconds = Long.parseLong(text.substring(homeEnd + 1, timeEnd), RADIX);
            return Optional.of(new Ticket(home, Instant.ofEpochSecond(seconds)));
        } catch (IllegalArgumentException | DateTimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text form, to which a caller appends its own key.
     *
     * @return the prefix, including the final separator
     */
    public String prefix() {
        return MARKER + home + SEPARATOR + Long.toString(issuedAt.getEpochSecond(), RADIX) + SEPARATOR;
    }

    /**
     * Returns whether keys with this ticket may no longer be used. The clock of the issuing entry may differ from that
     * of the home by up to the lifetime.
     *
     * @param now the current time by the clock of the home
     * @return whether the ticket has expired or its time of issue is too far in the future
     */
    public boolean isExpired(Instant now) {
        return !issuedAt.plus(LIFETIME).isAfter(now) || issuedAt.isAfter(now.plus(LIFETIME));
    }
}
