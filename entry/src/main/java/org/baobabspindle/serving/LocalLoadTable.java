package org.baobabspindle.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.request.AccountTokenAllocator;
import org.baobabspindle.core.request.AccountTokenCache;

/**
 * The outstanding requests of this entry, and the rate limit tokens that it holds. Guarded by the lock of rank LOADS.
 */
public final class LocalLoadTable {
    private static final double SMOOTHING_FACTOR = 0.2;

    private final Map<GroupId, Integer> outstandingRequests = new HashMap<>();
    private final Map<GroupId, Duration> timeToFirstToken = new HashMap<>();
    private final Map<Incarnation, Integer> outstandingCalls = new HashMap<>();
    private final Set<GroupId> trials = new HashSet<>();
    private final Map<ClientAccountId, AccountTokenCache> tokenCaches = new HashMap<>();
    private final AccountTokenAllocator tokenAllocator = new AccountTokenAllocator();

    /** Creates a table without load. */
    public LocalLoadTable() {}

    int outstandingRequests(GroupId group) {
        return outstandingRequests.getOrDefault(group, 0);
    }

    Duration timeToFirstToken(GroupId group) {
        return timeToFirstToken.getOrDefault(group, Duration.ZERO);
    }

    void requestStarted(GroupId group) {
        outstandingRequests.merge(group, 1, Integer::sum);
    }

    void requestEnded(GroupId group) {
        outstandingRequests.computeIfPresent(group, (g, n) -> n <= 1 ? null : n - 1);
    }

    void recordTimeToFirstToken(GroupId group, Duration time) {
        timeToFirstToken.merge(
                group,
                time,
                (a, b) -> Duration.ofNanos(
                        (long) (a.toNanos() * (1 - SMOOTHING_FACTOR) + b.toNanos() * SMOOTHING_FACTOR)));
    }

    /**
     * Reserves a group for a request that is suspected of crashing engines; a group runs one such request at a time.
     */
    boolean startTrial(GroupId group) {
        return trials.add(group);
    }

    boolean hasTrial(GroupId group) {
        return trials.contains(group);
    }

    void endTrial(GroupId group) {
        trials.remove(group);
    }

    int outstandingCalls(Incarnation service) {
        return outstandingCalls.getOrDefault(service, 0);
    }

    void callStarted(Incarnation service) {
        outstandingCalls.merge(service, 1, Integer::sum);
    }

    void callEnded(Incarnation service) {
        outstandingCalls.computeIfPresent(service, (s, n) -> n <= 1 ? null : n - 1);
    }

    /** Returns the tokens that this entry holds for an account. */
    AccountTokenCache tokenCache(ClientAccountId account, Instant now) {
        return tokenCaches.computeIfAbsent(account, a -> new AccountTokenCache(now));
    }

    /** Returns the token allocator of the accounts whose home is this entry. */
    AccountTokenAllocator tokenAllocator() {
        return tokenAllocator;
    }
}
