package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;

/** Whether and since when this entry stops. */
final class ShutdownState {
    /** The part of the grace period after which new requests are refused; the rest is for those that run. */
    private static final double ACCEPTING_SHARE = 0.75;

    /** The same for streams, which take seconds: one that begins later could be cut by the end of the process. */
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

    /** Returns whether new requests are refused, because they could not be finished. */
    boolean refusesNewRequests(boolean streaming, Moment now) {
        double share = streaming ? ACCEPTING_STREAMS_SHARE : ACCEPTING_SHARE;
        Duration accepting = Duration.ofMillis((long) (gracePeriod.toMillis() * share));
        return since.filter(s -> now.since(s).compareTo(accepting) > 0).isPresent();
    }
}
