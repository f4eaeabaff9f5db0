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

/** What this entry itself has under way, and the limits it spends from. Guarded by the lock of rank LOADS. */
public final class LocalLoadTable {
    private static final double SMOOTHING = 0.2;

    private final Map<GroupId, Integer> outstanding = new HashMap<>();
    private final Map<GroupId, Duration> firstToken = new HashMap<>();
    private final Map<Incarnation, Integer> calls = new HashMap<>();
    private final Set<GroupId> trials = new HashSet<>();
    private final Map<ClientAccountId, AccountTokenCache> spenders = new HashMap<>();
    private final AccountTokenAllocator home = new AccountTokenAllocator();

    /** Creates tables without load. */
    public LocalLoadTable() {}

    int outstanding(GroupId group) {
        return outstanding.getOrDefault(group, 0);
    }

    Duration firstToken(GroupId group) {
        return firstToken.getOrDefault(group, Duration.ZERO);
    }

    void started(GroupId group) {
        outstanding.merge(group, 1, Integer::sum);
    }

    void ended(GroupId group) {
        outstanding.computeIfPresent(group, (g, n) -> n <= 1 ? null : n - 1);
    }

    void sawFirstToken(GroupId group, Duration time) {
        firstToken.merge(
                group,
                time,
                (a, b) -> Duration.ofNanos((long) (a.toNanos() * (1 - SMOOTHING) + b.toNanos() * SMOOTHING)));
    }

    /** Takes a group for a request that is suspected of crashing engines; one at a time. */
    boolean startTrial(GroupId group) {
        return trials.add(group);
    }

    boolean isOnTrial(GroupId group) {
        return trials.contains(group);
    }

    void endTrial(GroupId group) {
        trials.remove(group);
    }

    int calls(Incarnation service) {
        return calls.getOrDefault(service, 0);
    }

    void called(Incarnation service) {
        calls.merge(service, 1, Integer::sum);
    }

    void answered(Incarnation service) {
        calls.computeIfPresent(service, (s, n) -> n <= 1 ? null : n - 1);
    }

    /** Returns what this entry spends from for an account. */
    AccountTokenCache spender(ClientAccountId account, Instant now) {
        return spenders.computeIfAbsent(account, a -> new AccountTokenCache(now));
    }

    /** Returns the limits of the accounts whose home is this entry. */
    AccountTokenAllocator home() {
        return home;
    }
}
