package org.baobabspindle.core.fuzz;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.freshness.Acceptance;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.Group;

/** Checks the safety invariants against what engines and entries actually did. */
final class InvariantChecker {
    private final GroupTimings timings;
    private final List<TrackedVersion> trackedVersions = new ArrayList<>();
    private final Map<ConfigurationVersion, Instant> acceptedAt = new HashMap<>();
    private final Map<Incarnation, ConfigurationVersion> latestVersion = new HashMap<>();
    private long dispatchCount;
    private long freshCheckCount;

    InvariantChecker(GroupTimings timings) {
        this.timings = timings;
    }

    private record TrackedVersion(ConfigurationVersion version, Acceptance acceptance) {}

    long dispatchCount() {
        return dispatchCount;
    }

    long freshCheckCount() {
        return freshCheckCount;
    }

    long acceptedCount() {
        return acceptedAt.size();
    }

    /** Checks that every member of a group that gets a request held it ready within the age limit of a confirmation. */
    void checkDispatch(Instant now, Group group, List<FakeEngine> engines) {
        dispatchCount++;
        Instant from = now.minus(timings.maxConfirmationAge());
        for (Incarnation m : group.members()) {
            FakeEngine engine = engines.stream()
                    .filter(e -> e.id().instance().equals(m.instance()))
                    .findFirst()
                    .orElseThrow();
            if (!engine.wasReady(m, group.id(), from, now)) {
                throw new AssertionError("group " + group + " gets a request at " + now + " while " + m
                        + " has not held it ready since " + from);
            }
        }
    }

    /** Checks that entries at the same log offset have the same state and that no instance is in two groups. */
    void checkReplicas(List<FakeEntry> entries) {
        Map<LogOffset, JsonNode> states = new HashMap<>();
        for (FakeEntry e : entries) {
            JsonNode state = e.state().snapshot();
            JsonNode other = states.putIfAbsent(e.state().nextOffset(), state);
            if (other != null && !other.equals(state)) {
                throw new AssertionError("two entries have different states at offset "
                        + e.state().nextOffset());
            }
            checkExclusive(e);
        }
    }

    private static void checkExclusive(FakeEntry entry) {
        Map<InstanceId, Group> groupOf = new HashMap<>();
        for (Group g : entry.state().groupState().groups()) {
            for (Incarnation m : g.members()) {
                Group other = groupOf.putIfAbsent(m.instance(), g);
                if (other != null) {
                    throw new AssertionError(m + " is in " + g + " and in " + other);
                }
            }
        }
    }

    /** Starts to track the acceptance of a version, by the versions that entries report in responses to their peers. */
    void trackAcceptance(Instant now, ConfigurationVersion version, Acceptance acceptance, List<FakeEntry> entries) {
        trackedVersions.add(new TrackedVersion(version, acceptance));
    }

    /** Records the version that an entry received from a peer, and its own, for all tracked versions. */
    void versionReceived(FakeEntry requester, Incarnation from, ConfigurationVersion version) {
        for (TrackedVersion tracked : trackedVersions) {
            tracked.acceptance().recordReplayed(from, version);
            tracked.acceptance()
                    .recordReplayed(
                            requester.id(),
                            requester.state().configurationState().version());
        }
    }

    /**
     * Checks that no entry reverts to an older configuration version and that an entry that accepts requests has every
     * version that was accepted longer ago than the freshness bound.
     */
    void checkFresh(Instant now, FakeEntry entry, boolean fresh) {
        recordAcceptedVersions(now, entry);
        ConfigurationVersion own = entry.state().configurationState().version();
        ConfigurationVersion before = latestVersion.put(entry.id(), own);
        if (before != null && own.compareTo(before) < 0) {
            throw new AssertionError(entry.id() + " reverted from " + before + " to " + own);
        }
        if (!fresh) {
            return;
        }
        freshCheckCount++;
        for (Map.Entry<ConfigurationVersion, Instant> a : acceptedAt.entrySet()) {
            boolean due = a.getValue().plus(FakeEntry.FRESHNESS).isBefore(now);
            if (due && own.compareTo(a.getKey()) < 0) {
                throw new AssertionError(entry.id() + " accepts requests with version " + own + " at " + now
                        + " although " + a.getKey() + " was accepted at " + a.getValue());
            }
        }
    }

    /** Records when a version was accepted, as found by an entry that has replayed it. */
    private void recordAcceptedVersions(Instant now, FakeEntry observer) {
        for (TrackedVersion tracked : trackedVersions) {
            boolean has = observer.state().configurationState().version().compareTo(tracked.version()) >= 0;
            boolean hasMembers = !observer.state().membership().regions().isEmpty();
            if (has
                    && hasMembers
                    && tracked.acceptance()
                            .regionsWithoutMajority(observer.state().membership())
                            .isEmpty()) {
                acceptedAt.putIfAbsent(tracked.version(), now);
            }
        }
    }
}
