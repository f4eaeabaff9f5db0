package review;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The requests of a play and which of them were served; times are those of the record, in seconds. */
final class SentRequests {
    /** The time over which a share is taken. */
    static final double WINDOW_SECONDS = 0.25;

    private static final int LASTING_WINDOWS = 4;

    /** A request and its answer. */
    record Sent(double at, boolean served, int status, String kind, String address) {}

    private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();

    void add(Sent s) {
        sent.add(s);
    }

    long count(double from) {
        return sent.stream().filter(s -> s.at() >= from).count();
    }

    /** Returns the share that was served of what was sent in a time; 0 if nothing was sent. */
    double share(double from, double to) {
        List<Sent> all = between(from, to);
        return all.isEmpty() ? 0 : (double) all.stream().filter(Sent::served).count() / all.size();
    }

    private List<Sent> between(double from, double to) {
        return sent.stream().filter(s -> s.at() >= from && s.at() < to).toList();
    }

    /** Returns after how many seconds the first request that was served was sent. */
    double first(double from) {
        return sent.stream()
                        .filter(s -> s.at() >= from && s.served())
                        .mapToDouble(Sent::at)
                        .min()
                        .orElse(Double.NaN)
                - from;
    }

    /** Returns after how many seconds a share of the requests of a window and the next three is served. */
    double sustained(double share, double from, double seconds) {
        for (double t = 0; t < seconds; t += WINDOW_SECONDS) {
            boolean holds = true;
            for (int w = 0; w < LASTING_WINDOWS; w++) {
                double begin = from + t + w * WINDOW_SECONDS;
                holds &= share(begin, begin + WINDOW_SECONDS) >= share;
            }
            if (holds) {
                return t;
            }
        }
        return Double.NaN;
    }

    /** Returns how many were not served, by kind and status. */
    Map<String, Integer> notServed(double from) {
        Map<String, Integer> counts = new TreeMap<>();
        sent.stream()
                .filter(s -> s.at() >= from && !s.served())
                .forEach(s -> counts.merge(s.kind() + " " + s.status(), 1, Integer::sum));
        return counts;
    }

    Map<String, Integer> byAddress(double from, double to) {
        Map<String, Integer> counts = new TreeMap<>();
        between(from, to).forEach(s -> counts.merge(s.address(), 1, Integer::sum));
        return counts;
    }
}
