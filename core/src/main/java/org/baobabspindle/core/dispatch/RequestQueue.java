package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabspindle.core.time.Moment;

/**
 * Requests that wait for a slot. Answers demand above the slots: urgent requests go first; among equals, those that can still
 * be on time go before those that cannot, and the one whose time ends first goes first. In a lasting shortage a line by
 * arrival alone would serve every request late.
 *
 * @param <T> the request
 */
public final class RequestQueue<T> {
    private final List<Entry<T>> line = new ArrayList<>();

    /** Creates an empty line. */
    public RequestQueue() {}

    /**
     * How long waiting is useful.
     *
     * @param onTimeUntil until when a slot makes the answer come on time
     * @param giveUpAt until when a late answer is still of use
     */
    public record WaitLimits(Moment onTimeUntil, Moment giveUpAt) {}

    private record Entry<T>(T request, int priority, WaitLimits patience) {
        boolean canBeOnTime(Moment now) {
            return now.isBefore(patience.onTimeUntil());
        }
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param priority its rank, 0 goes first
     * @param patience how long waiting is useful
     */
    public void add(T request, int priority, WaitLimits patience) {
        line.add(new Entry<>(request, priority, patience));
    }

    /**
     * Offers the requests to a taker in their order until it takes no more.
     *
     * @param taker takes a request and tells whether it did
     * @param now the present time
     */
    public void dispatch(Predicate<T> taker, Moment now) {
        while (true) {
            Optional<Entry<T>> next = line.stream().min(order(now));
            if (next.isEmpty() || !taker.test(next.get().request())) {
                return;
            }
            line.remove(next.get());
        }
    }

    private static <T> Comparator<Entry<T>> order(Moment now) {
        return Comparator.<Entry<T>>comparingInt(Entry::priority)
                .thenComparing(e -> !e.canBeOnTime(now))
                .thenComparingLong(e -> e.patience().onTimeUntil().monotonicNanos());
    }

    /**
     * Removes a request.
     *
     * @param request the request
     * @return whether it waited
     */
    public boolean remove(T request) {
        return line.removeIf(e -> e.request().equals(request));
    }

    /**
     * Removes the requests whose time is over.
     *
     * @param now the present time
     * @return the requests to give up
     */
    public List<T> removeExpired(Moment now) {
        List<T> result = new ArrayList<>();
        for (Iterator<Entry<T>> i = line.iterator(); i.hasNext(); ) {
            Entry<T> e = i.next();
            if (!now.isBefore(e.patience().giveUpAt())) {
                i.remove();
                result.add(e.request());
            }
        }
        return result;
    }

    /**
     * Returns how many requests wait.
     *
     * @return the count
     */
    public int size() {
        return line.size();
    }
}
