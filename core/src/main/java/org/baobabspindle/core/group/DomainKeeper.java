package org.baobabspindle.core.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.configuration.ModelSetting;
import org.baobabspindle.core.id.FencingNumber;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.GroupDissolved;
import org.baobabspindle.core.log.GroupFormed;
import org.baobabspindle.core.log.KeeperClaim;

/**
 * Plans the changes to one fabric domain while its lease is held: which groups to dissolve, which to form and which
 * orders to send to engines.
 */
final class DomainKeeper {
    private final GroupTimings timings;
    private final GroupAssessor assessor;
    private final Map<InstanceId, Instant> orderedAt = new HashMap<>();
    private final Map<GroupId, Instant> drainingSince = new HashMap<>();
    private long lastOrderNumber;

    DomainKeeper(GroupTimings timings) {
        this.timings = timings;
        this.assessor = new GroupAssessor(timings);
    }

    /** The period during which this entry is the keeper of a domain. */
    record Tenure(KeeperClaim claim, Instant quietUntil, Instant leaseEnd, boolean mayAppend) {}

    GroupAssessment assess(Instant now, KeeperView view, Group group, Instant quietUntil) {
        GroupAssessment assessment = assessor.assess(
                now, group, view.reports(), quietUntil, view.state().configuration());
        boolean draining = leavingMemberReason(view, group).isPresent() || isSurplus(view, group);
        if (draining && assessment.lifecycle() == Lifecycle.SERVING) {
            return new GroupAssessment(group.id(), Lifecycle.DRAINING, Optional.empty(), assessment.running());
        }
        return assessment;
    }

    List<KeeperAction> decide(Instant now, KeeperView view, Tenure tenure) {
        List<KeeperAction> actions = new ArrayList<>();
        List<Group> groups = view.state().groupState().groups().stream()
                .filter(g -> g.domain().equals(tenure.claim().domain()))
                .toList();
        if (tenure.mayAppend()) {
            Optional<KeeperAction> change = dissolve(now, view, tenure, groups);
            change.or(() -> form(now, view, tenure)).ifPresent(actions::add);
        }
        for (Group g : groups) {
            actions.addAll(orderMembers(now, view, tenure, g));
        }
        actions.addAll(releaseUnassigned(now, view, tenure));
        return actions;
    }

    private Optional<KeeperAction> dissolve(Instant now, KeeperView view, Tenure tenure, List<Group> groups) {
        for (Group g : groups) {
            Optional<String> reason = dissolutionReason(now, view, tenure, g);
            if (reason.isPresent()) {
                GroupDissolved record =
                        new GroupDissolved(g.id(), tenure.claim().epoch(), reason.get());
                return Optional.of(new KeeperAction.Append(tenure.claim().domain(), record, now, reason.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the reason to dissolve a group now, or empty if the group is kept. */
    private Optional<String> dissolutionReason(Instant now, KeeperView view, Tenure tenure, Group group) {
        for (Incarnation m : group.members()) {
            Optional<Incarnation> newest = view.newestIncarnation(m.instance());
            if (newest.isPresent() && newest.get().compareTo(m) > 0) {
                return Optional.of("member " + m + " was replaced by " + newest.get());
            }
        }
        Optional<String> lost = lostMemberReason(now, view, tenure, group);
        if (lost.isPresent()) {
            return lost;
        }
        Optional<String> drainReason = leavingMemberReason(view, group)
                .or(() -> isSurplus(view, group)
                        ? Optional.of("the configuration wants fewer groups of " + group.model())
                        : Optional.empty());
        if (drainReason.isEmpty()) {
            drainingSince.remove(group.id());
            return Optional.empty();
        }
        Instant since = drainingSince.computeIfAbsent(group.id(), g -> now);
        GroupAssessment assessment = assessor.assess(
                now, group, view.reports(), tenure.quietUntil(), view.state().configuration());
        boolean settled = !since.plus(timings.maxConfirmationAge())
                .plus(timings.maxConfirmationAge())
                .isAfter(now);
        boolean timedOut = !since.plus(timings.drainTimeout()).isAfter(now);
        boolean idle = settled && assessment.running() == 0;
        return idle || timedOut ? drainReason : Optional.empty();
    }

    /**
     * Returns the reason to dissolve a group that has an unresponsive member, or empty if the group is kept. The member
     * counts as lost after the timeout of the placement policy. As long as the platform still lists it, the group is
     * kept beyond that while the free instances of the domain and those of its broken groups are too few for a
     * replacement.
     */
    private Optional<String> lostMemberReason(Instant now, KeeperView view, Tenure tenure, Group group) {
        Optional<Incarnation> lost = unresponsiveMember(now, view, tenure, group);
        if (lost.isEmpty()) {
            return Optional.empty();
        }
        boolean listed = view.instances().stream().anyMatch(i -> i.id().equals(lost.get()));
        if (listed && countUsable(now, view, tenure) < group.members().size()) {
            return Optional.empty();
        }
        return Optional.of("member " + lost.get() + " is silent");
    }

    private Optional<Incarnation> unresponsiveMember(Instant now, KeeperView view, Tenure tenure, Group group) {
        Duration timeout = view.state().configuration().placement().unresponsiveTimeout();
        for (Incarnation m : group.members()) {
            Instant last = view.reports()
                    .of(m.instance())
                    .map(MemberReport::probeSentAt)
                    .orElse(tenure.quietUntil());
            Instant start = last.isBefore(tenure.quietUntil()) ? tenure.quietUntil() : last;
            if (start.plus(timeout).isBefore(now)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }

    /** Returns the number of instances of the domain that are free or would be if its broken groups were dissolved. */
    private int countUsable(Instant now, KeeperView view, Tenure tenure) {
        int usable = freeInstances(now, view, tenure).size();
        for (Group g : view.state().groupState().groups()) {
            boolean inDomain = g.domain().equals(tenure.claim().domain());
            if (inDomain && unresponsiveMember(now, view, tenure, g).isPresent()) {
                usable += (int) view.instancesIn(g.domain()).stream()
                        .filter(i -> g.members().contains(i.id())
                                && respondingIncarnation(now, view, i).isPresent())
                        .count();
            }
        }
        return usable;
    }

    private static Optional<String> leavingMemberReason(KeeperView view, Group group) {
        for (Incarnation m : group.members()) {
            boolean listed = view.instances().stream().anyMatch(i -> i.id().equals(m) && i.leaving());
            boolean reported =
                    view.reports().of(m.instance()).map(MemberReport::leaving).orElse(false);
            if (listed || reported || view.state().configuration().isDrained(m.instance())) {
                return Optional.of("member " + m + " is leaving");
            }
        }
        return Optional.empty();
    }

    /** Returns whether a group is surplus. If there are more groups than configured, those formed last are. */
    private static boolean isSurplus(KeeperView view, Group group) {
        ModelSetting setting =
                view.state().configuration().models().get(group.model().toString());
        if (setting == null || setting.instancesPerGroup() != group.members().size()) {
            return true;
        }
        long earlier = view.state().groupState().groups().stream()
                .filter(g -> g.model().equals(group.model()) && g.id().compareTo(group.id()) < 0)
                .count();
        return earlier >= setting.groups();
    }

    private Optional<KeeperAction> form(Instant now, KeeperView view, Tenure tenure) {
        Configuration configuration = view.state().configuration();
        List<Incarnation> free = freeInstances(now, view, tenure);
        List<Map.Entry<String, ModelSetting>> models = configuration.models().entrySet().stream()
                .sorted(configuration.placement().modelOrder())
                .toList();
        for (Map.Entry<String, ModelSetting> e : models) {
            ModelVersion model = ModelVersion.parse(e.getKey());
            long existing = view.state().groupState().count(model);
            int size = e.getValue().instancesPerGroup();
            if (existing >= e.getValue().groups() || free.size() < size) {
                continue;
            }
            GroupFormed record =
                    new GroupFormed(tenure.claim().domain(), tenure.claim().epoch(), model, free.subList(0, size));
            String reason = existing + " of " + e.getValue().groups() + " groups of " + model + " exist, " + free.size()
                    + " instances are free";
            return Optional.of(new KeeperAction.Append(tenure.claim().domain(), record, now, reason));
        }
        return Optional.empty();
    }

    /** Returns the instances that respond, are not leaving and belong to no group. */
    private List<Incarnation> freeInstances(Instant now, KeeperView view, Tenure tenure) {
        Predicate<PlatformInstance> unassigned = i -> !i.leaving()
                && !view.state().configuration().isDrained(i.id().instance())
                && view.state().groupState().groupOf(i.id().instance()).isEmpty();
        return view.instancesIn(tenure.claim().domain()).stream()
                .filter(unassigned)
                .flatMap(i -> respondingIncarnation(now, view, i).stream())
                .toList();
    }

    private Optional<Incarnation> respondingIncarnation(Instant now, KeeperView view, PlatformInstance instance) {
        return view.reports()
                .of(instance.id().instance())
                .filter(r -> !r.leaving()
                        && r.probeSentAt().plus(timings.maxConfirmationAge()).isAfter(now))
                .map(MemberReport::member);
    }

    private List<KeeperAction> orderMembers(Instant now, KeeperView view, Tenure tenure, Group group) {
        List<KeeperAction> actions = new ArrayList<>();
        for (Incarnation m : group.members()) {
            Optional<MemberReport> report = view.reports().of(m.instance());
            boolean sameIncarnation = report.map(r -> r.member().equals(m)).orElse(false);
            boolean holds = report.flatMap(MemberReport::group).equals(Optional.of(group.id()));
            if (sameIncarnation && !holds && isOrderDue(now, m)) {
                actions.add(order(now, tenure, m, group, "member does not hold its part of group " + group.id()));
            }
        }
        return actions;
    }

    private List<KeeperAction> releaseUnassigned(Instant now, KeeperView view, Tenure tenure) {
        List<KeeperAction> actions = new ArrayList<>();
        for (PlatformInstance i : view.instancesIn(tenure.claim().domain())) {
            Optional<MemberReport> report = view.reports().of(i.id().instance());
            boolean holds = report.flatMap(MemberReport::group).isPresent();
            boolean inGroup =
                    view.state().groupState().groupOf(i.id().instance()).isPresent();
            if (holds && !inGroup && isOrderDue(now, report.get().member())) {
                actions.add(
                        order(now, tenure, report.get().member(), null, "the instance belongs to no group in the log"));
            }
        }
        return actions;
    }

    private boolean isOrderDue(Instant now, Incarnation target) {
        Instant last = orderedAt.get(target.instance());
        return last == null || !last.plus(timings.orderRetryInterval()).isAfter(now);
    }

    private KeeperAction order(Instant now, Tenure tenure, Incarnation target, Group group, String reason) {
        orderedAt.put(target.instance(), now);
        lastOrderNumber++;
        Instant expiry = now.plus(timings.orderLifetime());
        Instant notAfter = expiry.isBefore(tenure.leaseEnd()) ? expiry : tenure.leaseEnd();
        FencingNumber fencing = new FencingNumber(tenure.claim().epoch(), lastOrderNumber);
        if (group == null) {
            return new KeeperAction.Order(target, fencing, null, null, List.of(), notAfter, reason);
        }
        return new KeeperAction.Order(target, fencing, group.id(), group.model(), group.members(), notAfter, reason);
    }
}
