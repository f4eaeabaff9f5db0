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

/** Chooses a group for an attempt and counts the attempt to its load, in one step over the shared tables. */
final class GroupSelector {
    private static final int MOST_ASKED = 2;

    private final EntryTables tables;
    private final GroupTimings timings;
    private final Router router;

    GroupSelector(EntryTables tables, GroupTimings timings, Router router) {
        this.tables = tables;
        this.timings = timings;
        this.router = router;
    }

    /** A group that was chosen, with its first member. */
    record Chosen(GroupId group, PlatformInstance lead, String reason) {}

    /** What a request needs of a group. */
    record Wanted(ModelVersion model, String prefix, Set<GroupId> avoid, boolean trial) {}

    /** Chooses among the groups that may be sent to now; the choice must be ended. */
    Optional<Chosen> choose(Instant now, Wanted wanted) {
        return tables.log().with(v -> tables.groups().with(g -> tables.loads().with(l -> {
            List<Group> groups = new ArrayList<>();
            for (Group group : v.state().groupState().groups()) {
                if (isOpen(now, group, wanted, v, g) && !(wanted.trial() && l.isOnTrial(group.id()))) {
                    groups.add(group);
                }
            }
            return pick(groups, wanted, g, l);
        })));
    }

    private boolean isOpen(Instant now, Group group, Wanted wanted, LogView v, GroupTables g) {
        return group.model().equals(wanted.model())
                && !wanted.avoid().contains(group.id())
                && g.engine(group.head()).isPresent()
                && g.assessments().mayDispatch(now, group.id(), v.state().groupState(), timings);
    }

    /** Tells whether a suspect can expect its turn: a group could take it once the suspect there is done. */
    boolean isWorthWaiting(Instant now, Wanted wanted, Instant deadline) {
        if (!wanted.trial() || !now.isBefore(deadline)) {
            return false;
        }
        return tables.log()
                .with(v -> tables.groups().with(g -> tables.loads().with(l -> v.state().groupState().groups().stream()
                        .anyMatch(x -> isOpen(now, x, wanted, v, g) && l.isOnTrial(x.id())))));
    }

    private Optional<Chosen> pick(List<Group> groups, Wanted wanted, GroupTables g, LocalLoadTable l) {
        List<GroupCandidate> candidates =
                groups.stream().map(group -> candidate(group, g, l)).toList();
        Optional<Router.Choice> choice = router.choose(candidates, wanted.prefix());
        if (choice.isEmpty()) {
            return Optional.empty();
        }
        GroupId id = choice.get().group();
        l.started(id);
        if (wanted.trial()) {
            l.startTrial(id);
        }
        Group group = groups.stream().filter(x -> x.id().equals(id)).findFirst().orElseThrow();
        PlatformInstance lead = g.engine(group.head()).orElseThrow();
        return Optional.of(new Chosen(id, lead, choice.get().reason()));
    }

    private GroupCandidate candidate(Group group, GroupTables g, LocalLoadTable l) {
        boolean sameZone = g.engine(group.head())
                .map(e -> e.zone().equals(tables.self().zone()))
                .orElse(false);
        int running =
                g.assessments().of(group.id()).map(GroupAssessment::running).orElse(0);
        return new GroupCandidate(group.id(), sameZone, l.outstanding(group.id()), running, l.firstToken(group.id()));
    }

    /** Ends the attempt on a chosen group. */
    void end(Chosen chosen, boolean trial) {
        tables.loads().use(l -> {
            l.ended(chosen.group());
            if (trial) {
                l.endTrial(chosen.group());
            }
        });
    }

    /** Returns the groups that are worth asking at once when none is known to be open: a few of this entry's subset. */
    List<Group> worthAsking(Wanted wanted) {
        List<Group> groups = tables.log().with(v -> v.state().groupState().groups().stream()
                .filter(x -> x.model().equals(wanted.model()) && !wanted.avoid().contains(x.id()))
                .toList());
        List<GroupId> ids = groups.stream().map(Group::id).toList();
        Set<GroupId> few = GroupSubset.of(tables.id(), ids, MOST_ASKED);
        return groups.stream().filter(g -> few.contains(g.id())).toList();
    }
}
