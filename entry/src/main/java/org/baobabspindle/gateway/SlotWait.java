package org.baobabspindle.gateway;

import java.util.Optional;
import org.baobabspindle.core.time.Moment;

/** The wait of a request for a slot of a target. Guarded by the lock of its exchange. */
final class SlotWait {
    private final Dispatcher dispatcher;
    private Optional<Ticket> ticket = Optional.empty();
    private Optional<Moment> waitingSince = Optional.empty();
    private long millis;

    SlotWait(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    void begin(Ticket newTicket, Moment now) {
        ticket = Optional.of(newTicket);
        waitingSince = Optional.of(now);
    }

    /** The request has got a slot. */
    void end(Moment now) {
        ticket = Optional.empty();
        waitingSince.ifPresent(since -> millis += now.monotonicMillisSince(since));
        waitingSince = Optional.empty();
    }

    /** Takes the request out of the queue; returns false if it is not there any more. */
    boolean leave(Moment now) {
        boolean left = ticket.filter(dispatcher::withdraw).isPresent();
        if (left) {
            end(now);
        }
        return left;
    }

    /** Gives up waiting, if the request waits. */
    void cancel() {
        ticket.ifPresent(dispatcher::withdraw);
        ticket = Optional.empty();
    }

    /** Returns how long the request has waited in all until it got a slot or left the queue. */
    long millis() {
        return millis;
    }
}
