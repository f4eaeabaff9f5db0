package org.baobabspindle.core.dispatch;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/** The requests that an entry may send under a limit: one at once after it has been idle, and then at its rate. */
final class RequestCredit {
    private final double rate;
    private final double max;
    private double amount;
    private Moment updatedAt;

    /**
     * Creates a credit.
     *
     * @param rate the requests per second
     * @param maxIdle the time for which an idle entry accumulates credit, in addition to one request
     * @param amount the requests that may be sent now
     * @param now the present time
     */
    RequestCredit(double rate, Duration maxIdle, double amount, Moment now) {
        this.rate = rate;
        this.max = 1 + rate * seconds(maxIdle);
        this.amount = amount;
        this.updatedAt = now;
    }

    private static double seconds(Duration time) {
        return time.toNanos() / 1e9;
    }

    double rate() {
        return rate;
    }

    /** Returns the requests that may be sent now; a reading of the clock before the last one adds nothing. */
    double amount(Moment now) {
        Moment until = updatedAt.isBefore(now) ? now : updatedAt;
        double elapsed = seconds(Duration.ofNanos(until.monotonicNanos() - updatedAt.monotonicNanos()));
        amount = Math.min(max, amount + rate * elapsed);
        updatedAt = until;
        return amount;
    }

    void spend(Moment now) {
        amount = amount(now) - 1;
    }
}
