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

/** The few things that must hold, by what engines and entries really did. */
final class InvariantChecker {
    private final GroupTimings timings;
    private final List<Watched> watched = new ArrayList<>();
    private final Map<ConfigurationVersion, Instant> acceptedAt = new HashMap<>();
    private final Map<Incarnation, ConfigurationVersion> inForce = new HashMap<>();
    private long dispatches;
    private long freshChecks;

    InvariantChecker(GroupTimings timings) {
        this.timings = timings;
    }

    private record Watched(ConfigurationVersion version, Acceptance acceptance) {}

    long dispatches() {
        return dispatches;
    }

    long freshChecks() {
        return freshChecks;
    }

    long accepted() {
        return acceptedAt.size();
    }

    /** A group that is dispatched to was whole within the age of its confirmation. */
    void checkDispatch(Instant now, Group group, List<FakeEngine> engines) {
        dispatches++;
        Instant from = now.minus(timings.maxConfirmationAge());
        for (Incarnation m : group.members()) {
            FakeEngine engine = engines.stream()
                    .filter(e -> e.id().instance().equals(m.instance()))
                    .findFirst()
                    .orElseThrow();
            if (!engine.held(m, group.id(), from, now)) {
                throw new AssertionError("group " + group + " is dispatched to at " + now + " while " + m
                        + " has not held it since " + from);
            }
        }
    }

    /** Entries that have replayed as far as each other have the same state, and no instance is in two groups. */
    void checkReplicas(List<FakeEntry> entries) {
        Map<LogOffset, JsonNode> states = new HashMap<>();
        for (FakeEntry e : entries) {
            JsonNode state = e.state().snapshot();
            JsonNode other = states.putIfAbsent(e.state().nextOffset(), state);
            if (other != null && !other.equals(state)) {
                throw new AssertionError(
                        "two entries differ at offset " + e.state().nextOffset());
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

    /** Counts for a version from now on, by what each entry has when it answers. */
    void watch(Instant now, ConfigurationVersion version, Acceptance acceptance, List<FakeEntry> entries) {
        watched.add(new Watched(version, acceptance));
    }

    /** An entry that asked heard a version; the operator's entry counts it. */
    void heard(FakeEntry asker, Incarnation from, ConfigurationVersion version) {
        for (Watched w : watched) {
            w.acceptance().recordReplayed(from, version);
            w.acceptance()
                    .recordReplayed(
                            asker.id(), asker.state().configurationState().version());
        }
    }

    /** An entry that takes work has every version accepted longer ago than the bound, and never an older one again. */
    void checkFresh(Instant now, FakeEntry entry, boolean fresh) {
        noteAccepted(now, entry);
        ConfigurationVersion own = entry.state().configurationState().version();
        ConfigurationVersion before = inForce.put(entry.id(), own);
        if (before != null && own.compareTo(before) < 0) {
            throw new AssertionError(entry.id() + " reverted from " + before + " to " + own);
        }
        if (!fresh) {
            return;
        }
        freshChecks++;
        for (Map.Entry<ConfigurationVersion, Instant> a : acceptedAt.entrySet()) {
            boolean due = a.getValue().plus(FakeEntry.FRESHNESS).isBefore(now);
            if (due && own.compareTo(a.getKey()) < 0) {
                throw new AssertionError(entry.id() + " takes work with version " + own + " at " + now + " although "
                        + a.getKey() + " was accepted at " + a.getValue());
            }
        }
    }

    /** The entry that counts is one that has replayed the version. */
    private void noteAccepted(Instant now, FakeEntry counting) {
        for (Watched w : watched) {
            boolean has = counting.state().configurationState().version().compareTo(w.version()) >= 0;
            boolean counted = !counting.state().membership().regions().isEmpty();
            if (has
                    && counted
                    && w.acceptance()
                            .regionsWithoutMajority(counting.state().membership())
                            .isEmpty()) {
                acceptedAt.putIfAbsent(w.version(), now);
            }
        }
    }
}
