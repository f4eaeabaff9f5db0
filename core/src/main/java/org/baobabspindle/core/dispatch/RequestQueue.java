package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabspindle.core.time.Moment;

/**
 * A queue of requests that wait for a slot, ordered by priority. Among requests of equal priority, those that can still
 * be on time precede those that cannot, and then the request with the earliest time limit comes first. In a lasting
 * shortage, a queue in order of arrival would serve every request late.
 *
 * @param <T> the type of the requests
 */
public final class RequestQueue<T> {
    private final List<Waiter<T>> waiting = new ArrayList<>();

    /** Creates an empty queue. */
    public RequestQueue() {}

    /**
     * The time limits of a waiting request.
     *
     * @param onTimeUntil the time before which the request must get a slot for its answer to be on time
     * @param giveUpAt the time at which the request is given up, because even a late answer is no longer of use
     */
    public record WaitLimits(Moment onTimeUntil, Moment giveUpAt) {}

    private record Waiter<T>(T request, int priority, WaitLimits limits) {
        boolean canBeOnTime(Moment now) {
            return now.isBefore(limits.onTimeUntil());
        }
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param priority the priority; 0 is the highest
     * @param limits the time limits of the request
     */
    public void add(T request, int priority, WaitLimits limits) {
        waiting.add(new Waiter<>(request, priority, limits));
    }

    /**
     * Passes the requests to a sink in queue order until the sink does not accept one. Accepted requests leave the
     * queue.
     *
     * @param sink accepts a request and returns true, or returns false
     * @param now the present time
     */
    public void dispatch(Predicate<T> sink, Moment now) {
        while (true) {
            Optional<Waiter<T>> next = waiting.stream().min(order(now));
            if (next.isEmpty() || !sink.test(next.get().request())) {
                return;
            }
            waiting.remove(next.get());
        }
    }

    private static <T> Comparator<Waiter<T>> order(Moment now) {
        return Comparator.<Waiter<T>>comparingInt(Waiter::priority)
                .thenComparing(e -> !e.canBeOnTime(now))
                .thenComparingLong(e -> e.limits().onTimeUntil().monotonicNanos());
    }

    /**
     * Removes a request.
     *
     * @param request the request
     * @return whether the request was in the queue
     */
    public boolean remove(T request) {
        return waiting.removeIf(e -> e.request().equals(request));
    }

    /**
     * Removes the requests that have waited up to their time limit.
     *
     * @param now the present time
     * @return the removed requests
     */
    public List<T> removeExpired(Moment now) {
        List<T> result = new ArrayList<>();
        for (Iterator<Waiter<T>> i = waiting.iterator(); i.hasNext(); ) {
            Waiter<T> e = i.next();
            if (!now.isBefore(e.limits().giveUpAt())) {
                i.remove();
                result.add(e.request());
            }
        }
        return result;
    }

    /**
     * Returns the number of requests in the queue.
     *
     * @return the number of requests
     */
    public int size() {
        return waiting.size();
    }
}
