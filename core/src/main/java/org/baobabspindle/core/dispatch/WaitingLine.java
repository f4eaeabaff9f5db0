package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.baobabspindle.core.time.Moment;

/**
 * Requests that wait for a slot. Answers demand above the slots: the urgent go first, and among equals those whose time to
 * be useful ends first; a request that cannot be useful any more is given up at once.
 *
 * @param <T> the request
 */
public final class WaitingLine<T> {
    private final PriorityQueue<Entry<T>> line = new PriorityQueue<>(Comparator.<Entry<T>>comparingInt(Entry::priority)
            .thenComparingLong(e -> e.until().steadyNanos()));

    /** Creates an empty line. */
    public WaitingLine() {}

    private record Entry<T>(T request, int priority, Moment until) {}

    /**
     * Adds a request.
     *
     * @param request the request
     * @param priority its rank, 0 goes first
     * @param until how long waiting is useful
     */
    public void add(T request, int priority, Moment until) {
        line.add(new Entry<>(request, priority, until));
    }

    /**
     * Offers the requests to a taker in their order until it takes no more.
     *
     * @param taker takes a request and tells whether it did
     */
    public void offer(Predicate<T> taker) {
        while (!line.isEmpty() && taker.test(line.peek().request())) {
            line.poll();
        }
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
    public List<T> expired(Moment now) {
        List<T> result = new ArrayList<>();
        for (Iterator<Entry<T>> i = line.iterator(); i.hasNext(); ) {
            Entry<T> e = i.next();
            if (!now.isBefore(e.until())) {
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

    /**
     * Says how long a request may wait: until its answer would be late, but not into the last part of its time.
     *
     * @param targetLatency the time within which an answer is worth most
     * @param timeLeft the time until the deadline
     * @return the longest useful wait
     */
    public static Duration usefulWait(Duration targetLatency, Duration timeLeft) {
        Duration half = timeLeft.dividedBy(2);
        return targetLatency.compareTo(half) < 0 ? targetLatency : half;
    }
}
