package org.baobabspindle.serving;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.request.GroupCandidate;
import org.baobabspindle.core.request.GroupSubset;
import org.baobabspindle.core.request.Router;

/** Selects a group for an attempt and counts the attempt in the group's load, atomically over the shared tables. */
final class GroupSelector {
    private static final int MAX_PROBED_GROUPS = 2;

    private final EntryTables tables;
    private final GroupTimings timings;
    private final Router router;

    GroupSelector(EntryTables tables, GroupTimings timings, Router router) {
        this.tables = tables;
        this.timings = timings;
        this.router = router;
    }

    /** A selected group, the engine that is its head, and the reason for the selection. */
    record Selection(GroupId group, PlatformInstance head, String reason) {}

    /** The requirements of an attempt. A trial is an attempt to run a request that is suspected of crashing engines. */
    record Criteria(ModelVersion model, String prefix, Set<GroupId> excluded, boolean trial) {}

    /** Selects a group that requests may be sent to now. The caller must {@link #release} it after the attempt. */
    Optional<Selection> select(Instant now, Criteria criteria) {
        return tables.log().with(v -> tables.groups().with(g -> tables.loads().with(l -> {
            List<Group> groups = new ArrayList<>();
            for (Group group : v.state().groupState().groups()) {
                if (isEligible(now, group, criteria, v, g) && !(criteria.trial() && l.hasTrial(group.id()))) {
                    groups.add(group);
                }
            }
            return selectAmong(groups, criteria, g, l);
        })));
    }

    private boolean isEligible(Instant now, Group group, Criteria criteria, LogView v, GroupTables g) {
        return group.model().equals(criteria.model())
                && !criteria.excluded().contains(group.id())
                && g.engine(group.head()).isPresent()
                && g.assessments().mayDispatch(now, group.id(), v.state().groupState(), timings);
    }

    /**
     * Returns whether a trial is worth waiting for: an eligible group runs another trial and becomes available after
     * it.
     */
    boolean canWaitForTrial(Instant now, Criteria criteria, Instant deadline) {
        if (!criteria.trial() || !now.isBefore(deadline)) {
            return false;
        }
        return tables.log()
                .with(v -> tables.groups().with(g -> tables.loads().with(l -> v.state().groupState().groups().stream()
                        .anyMatch(x -> isEligible(now, x, criteria, v, g) && l.hasTrial(x.id())))));
    }

    private Optional<Selection> selectAmong(List<Group> groups, Criteria criteria, GroupTables g, LocalLoadTable l) {
        List<GroupCandidate> candidates =
                groups.stream().map(group -> toCandidate(group, g, l)).toList();
        Optional<Router.Choice> choice = router.choose(candidates, criteria.prefix());
        if (choice.isEmpty()) {
            return Optional.empty();
        }
        GroupId id = choice.get().group();
        l.requestStarted(id);
        if (criteria.trial()) {
            l.startTrial(id);
        }
        Group group = groups.stream().filter(x -> x.id().equals(id)).findFirst().orElseThrow();
        PlatformInstance head = g.engine(group.head()).orElseThrow();
        return Optional.of(new Selection(id, head, choice.get().reason()));
    }

    private GroupCandidate toCandidate(Group group, GroupTables g, LocalLoadTable l) {
        boolean sameZone = g.engine(group.head())
                .map(e -> e.zone().equals(tables.self().zone()))
                .orElse(false);
        int running =
                g.assessments().of(group.id()).map(GroupAssessment::running).orElse(0);
        return new GroupCandidate(
                group.id(), sameZone, l.outstandingRequests(group.id()), running, l.timeToFirstToken(group.id()));
    }

    /** Releases a selected group after the attempt. */
    void release(Selection selection, boolean trial) {
        tables.loads().use(l -> {
            l.requestEnded(selection.group());
            if (trial) {
                l.endTrial(selection.group());
            }
        });
    }

    /** Returns the groups to probe when no eligible group is known: a few from this entry's subset of the groups. */
    List<Group> groupsToProbe(Criteria criteria) {
        List<Group> groups = tables.log().with(v -> v.state().groupState().groups().stream()
                .filter(x -> x.model().equals(criteria.model())
                        && !criteria.excluded().contains(x.id()))
                .toList());
        List<GroupId> ids = groups.stream().map(Group::id).toList();
        Set<GroupId> probed = GroupSubset.of(tables.id(), ids, MAX_PROBED_GROUPS);
        return groups.stream().filter(g -> probed.contains(g.id())).toList();
    }
}
