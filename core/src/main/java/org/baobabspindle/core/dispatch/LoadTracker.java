package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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

    /**
     * The part of the requests of an entry of an earlier release that wait for their first event; they wait for about
     * 150 ms of 1.8 s.
     */
    private static final double WAITING_SHARE = 0.1;

    /** The maximum number of prompt tokens that another entry may state for a target; far above a full batch. */
    private static final long MAX_PEER_TOKENS = 10_000_000;

    private final Map<String, Integer> ownCounts = new HashMap<>();
    private final Map<InstanceId, PeerCounts> peerCounts = new HashMap<>();
    private final Map<String, Integer> peerTotals = new HashMap<>();
    private final Map<String, Long> ownUnread = new HashMap<>();
    private final Map<String, Long> peerUnread = new HashMap<>();
    private long meanPromptTokens;

    /** Creates a tracker without requests. */
    public LoadTracker() {}

    private record PeerCounts(Map<String, Integer> counts, Map<String, Long> unread, Moment receivedAt) {}

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
        updatePeerCounts(entry, counts, Optional.empty(), now);
    }

    /**
     * Replaces the counts of another entry.
     *
     * @param entry the entry
     * @param counts its outstanding requests by the key of the target
     * @param unread the prompt tokens of its requests without a first event, by the key of the target; empty if it does
     *     not tell, in which case they are estimated
     * @param now the present time
     */
    public void updatePeerCounts(
            InstanceId entry, Map<String, Integer> counts, Optional<Map<String, Long>> unread, Moment now) {
        PeerCounts updated =
                new PeerCounts(Map.copyOf(counts), unread.map(this::valid).orElseGet(() -> estimate(counts)), now);
        PeerCounts previous = peerCounts.put(entry, updated);
        if (previous != null) {
            addToPeerTotals(previous, -1);
        }
        addToPeerTotals(updated, 1);
    }

    private Map<String, Long> valid(Map<String, Long> unread) {
        Map<String, Long> result = new HashMap<>();
        unread.forEach((target, tokens) -> {
            if (tokens > 0) {
                result.put(target, Math.min(tokens, MAX_PEER_TOKENS));
            }
        });
        return result;
    }

    private Map<String, Long> estimate(Map<String, Integer> counts) {
        Map<String, Long> result = new HashMap<>();
        counts.forEach((target, n) -> result.put(target, Math.round(n * WAITING_SHARE * meanPromptTokens)));
        return result;
    }

    /**
     * Sets the mean number of prompt tokens, by which the tokens of entries that do not tell them are estimated.
     *
     * @param tokens the mean; 0 if no tokens are to be estimated
     */
    public void setMeanPromptTokens(long tokens) {
        meanPromptTokens = tokens;
    }

    /**
     * Counts the prompt tokens of a request that was sent.
     *
     * @param target the key of the target
     * @param tokens the prompt tokens
     */
    public void promptSent(String target, long tokens) {
        ownUnread.merge(target, tokens, Long::sum);
    }

    /**
     * Removes the prompt tokens of a request whose first event has arrived, or that has ended without one.
     *
     * @param target the key of the target
     * @param tokens the prompt tokens
     */
    public void promptRead(String target, long tokens) {
        ownUnread.computeIfPresent(target, (k, n) -> n > tokens ? n - tokens : null);
    }

    /**
     * Returns the prompt tokens of requests of this entry whose first event has not arrived.
     *
     * @return the tokens by the key of the target
     */
    public Map<String, Long> ownUnread() {
        return Map.copyOf(ownUnread);
    }

    /**
     * Returns the prompt tokens, over all entries, of requests whose first event has not arrived. Counts of entries that
     * have been unresponsive for too long are removed by {@link #totals}.
     *
     * @param target the key of the target
     * @return the tokens
     */
    public long unread(String target) {
        return ownUnread.getOrDefault(target, 0L) + peerUnread.getOrDefault(target, 0L);
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
                addToPeerTotals(p, -1);
            }
            return stale;
        });
        return target -> ownCounts.getOrDefault(target, 0) + peerTotals.getOrDefault(target, 0);
    }

    private void addToPeerTotals(PeerCounts peer, int sign) {
        peer.counts().forEach((target, n) -> peerTotals.merge(target, sign * n, (a, b) -> a + b == 0 ? null : a + b));
        peer.unread().forEach((target, n) -> peerUnread.merge(target, sign * n, (a, b) -> a + b == 0 ? null : a + b));
    }
}
