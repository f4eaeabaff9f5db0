package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Function;
import java.util.function.IntFunction;
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

    /** The result of passing a request to a sink. */
    public enum Result {
        /** The request was accepted and leaves the queue. */
        ACCEPTED,
        /** No slot suits this request; another one may still be accepted. */
        NOT_SUITED,
        /** There is no slot for any request. */
        FULL
    }

    /**
     * Passes the requests to a sink in queue order until there is no slot for any of them. A request that no slot suits
     * keeps its place and does not hold up those behind it.
     *
     * @param sink accepts a request or not
     * @param now the present time
     */
    public void dispatch(Function<T, Result> sink, Moment now) {
        List<Waiter<T>> ordered = new ArrayList<>(waiting);
        ordered.sort(order(now));
        for (Waiter<T> w : ordered) {
            Result result = sink.apply(w.request());
            if (result == Result.FULL) {
                return;
            }
            if (result == Result.ACCEPTED) {
                waiting.remove(w);
            }
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
     * Removes the requests that will not get a slot before they are given up. Those behind a removed request move up, so
     * that the least urgent ones are removed first.
     *
     * @param removable whether a request may be removed
     * @param predictedWait returns the wait of a request behind a number of others
     * @param now the present time
     * @return the removed requests
     */
    public List<T> removeHopeless(Predicate<T> removable, IntFunction<Duration> predictedWait, Moment now) {
        List<Waiter<T>> ordered = new ArrayList<>(waiting);
        ordered.sort(order(now));
        List<T> result = new ArrayList<>();
        int ahead = 0;
        for (Waiter<T> w : ordered) {
            boolean hopeless =
                    !now.plus(predictedWait.apply(ahead)).isBefore(w.limits().giveUpAt());
            if (hopeless && removable.test(w.request())) {
                waiting.remove(w);
                result.add(w.request());
            } else {
                ahead++;
            }
        }
        return result;
    }

    /**
     * Returns the number of requests that precede a new one. Those of lower priority do not: a queue of less urgent requests
     * must not make an urgent one appear hopeless.
     *
     * @param priority the priority of the new request; 0 is the highest
     * @return the number of waiting requests of this or a higher priority
     */
    public int ahead(int priority) {
        return (int) waiting.stream().filter(w -> w.priority() <= priority).count();
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
