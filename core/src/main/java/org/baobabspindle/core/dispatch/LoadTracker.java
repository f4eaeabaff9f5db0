package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * Counts the outstanding requests of each target: those of this entry and those in the last peer state of every other
 * entry. Many entries send to the same targets at the same time, so the requests of one entry do not show the load of a
 * target.
 */
public final class LoadTracker {
    /**
     * The counts of an entry are dropped this long after its last message; ten times the usual interval of messages.
     */
    private static final Duration PEER_COUNT_LIFETIME = Duration.ofSeconds(2);

    private final Map<String, Integer> ownCounts = new HashMap<>();
    private final Map<InstanceId, PeerCounts> peerCounts = new HashMap<>();
    private final Map<String, Integer> peerTotals = new HashMap<>();

    /** Creates a tracker without requests. */
    public LoadTracker() {}

    private record PeerCounts(Map<String, Integer> counts, Moment receivedAt) {}

    /**
     * Counts a request that was sent.
     *
     * @param target the key of the target
     */
    public void requestSent(String target) {
        ownCounts.merge(target, 1, Integer::sum);
    }

    /**
     * Removes a request that has ended from the count.
     *
     * @param target the key of the target
     */
    public void requestEnded(String target) {
        ownCounts.computeIfPresent(target, (k, n) -> n > 1 ? n - 1 : null);
    }

    /**
     * Replaces the counts of another entry.
     *
     * @param entry the entry
     * @param counts its outstanding requests by the key of the target
     * @param now the present time
     */
    public void updatePeerCounts(InstanceId entry, Map<String, Integer> counts, Moment now) {
        PeerCounts previous = peerCounts.put(entry, new PeerCounts(Map.copyOf(counts), now));
        if (previous != null) {
            addToPeerTotals(previous.counts(), -1);
        }
        addToPeerTotals(counts, 1);
    }

    /**
     * Returns the outstanding requests of this entry.
     *
     * @return the counts by the key of the target
     */
    public Map<String, Integer> ownCounts() {
        return Map.copyOf(ownCounts);
    }

    /**
     * Returns the requests that this entry has outstanding at a target.
     *
     * @param target the key of the target
     * @return the count
     */
    public int ownCount(String target) {
        return ownCounts.getOrDefault(target, 0);
    }

    /**
     * Returns the outstanding requests of all entries, without the counts of entries that have been unresponsive for
     * too long.
     *
     * @param now the present time
     * @return a function from the key of a target to the requests outstanding there
     */
    public Function<String, Integer> totals(Moment now) {
        peerCounts.values().removeIf(p -> {
            boolean stale = now.since(p.receivedAt()).compareTo(PEER_COUNT_LIFETIME) > 0;
            if (stale) {
                addToPeerTotals(p.counts(), -1);
            }
            return stale;
        });
        return target -> ownCounts.getOrDefault(target, 0) + peerTotals.getOrDefault(target, 0);
    }

    private void addToPeerTotals(Map<String, Integer> counts, int sign) {
        counts.forEach((target, n) -> peerTotals.merge(target, sign * n, (a, b) -> a + b == 0 ? null : a + b));
    }
}
