package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;

/** Whether this entry is shutting down, and since when. */
final class ShutdownState {
    /**
     * The fraction of the grace period during which new requests are accepted; the rest is for requests in progress.
     */
    private static final double ACCEPTING_SHARE = 0.75;

    /** The fraction for streams, which take seconds: a later stream could be cut off when the process terminates. */
    private static final double ACCEPTING_STREAMS_SHARE = 0.375;

    private final Duration gracePeriod;
    private volatile Optional<Moment> since = Optional.empty();

    ShutdownState(Duration gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    void begin(Moment now) {
        since = Optional.of(now);
    }

    boolean inProgress() {
        return since.isPresent();
    }

    /** Returns whether new requests are refused, because they could not be completed within the grace period. */
    boolean refusesNewRequests(boolean streaming, Moment now) {
        double share = streaming ? ACCEPTING_STREAMS_SHARE : ACCEPTING_SHARE;
        Duration acceptingTime = Duration.ofMillis((long) (gracePeriod.toMillis() * share));
        return since.filter(s -> now.since(s).compareTo(acceptingTime) > 0).isPresent();
    }
}
