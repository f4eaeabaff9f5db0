package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.time.Moment;

/**
 * Decides which orders a keeper sends to the engines of its fabric domains: opens groups whose members are all ready,
 * dissolves groups that have lost a member, and forms new groups according to the plan for the whole fleet.
 *
 * <p>An engine counts as free only once the head of its former group is known to have left the group, to be broken or
 * to have terminated.
 */
public final class Formation {
    /**
     * A conversion starts only while fewer groups than this are closing, the number of groups that one conversion
     * closes.
     */
    private static final int MAX_CLOSING_GROUPS = 2;

    /**
     * Before the first request, no group is formed until this long after the last engine appeared; engines start
     * together.
     */
    private static final Duration ARRIVAL_QUIET_PERIOD = Duration.ofMillis(500);

    private final Map<GroupKey, FormingGroup> forming = new HashMap<>();
    private final Map<GroupKey, Moment> released = new HashMap<>();
    private final SentOrders sentOrders = new SentOrders();
    private final GroupDissolver dissolver = new GroupDissolver(sentOrders);
    private final HostStaging staging = new HostStaging();
    private final Conversions conversions = new Conversions();
    private final DomainOptionsCache optionsCache = new DomainOptionsCache();
    private final LossRate lossRate = new LossRate();
    private final Map<BackendServer.Lifetime, Moment> freeSince = new HashMap<>();
    private Set<BackendServer.Lifetime> cold = Set.of();
    private Set<BackendServer.Lifetime> knownEngines = Set.of();

    /** When the last engine appeared; null before the first one. */
    private Moment lastArrival;

    private List<String> summary = List.of();

    /** Creates an instance without any state of earlier decisions. */
    public Formation() {}

    /**
     * The input of a decision: the fleet and the limits as the keeper knows them.
     *
     * @param profile the performance profile of the engines
     * @param engines the listed engines of the service, in all domains
     * @param lost the lifetimes of unresponsive engines
     * @param ownDomains whether this keeper holds the lease on a domain
     * @param demand the demand for each model, in slots
     * @param epochs the source of epochs of new groups
     * @param stagedElsewhere the models that hosts are staging on orders of other keepers
     * @param policy the weight of downtime against unused capacity
     * @param loadsAllowed how many loads of weights may start now
     * @param beforeRequests whether no request has been seen yet; loads are faster then and no capacity is needed yet
     */
    public record View(
            EngineProfile profile,
            Collection<BackendServer> engines,
            Set<BackendServer.Lifetime> lost,
            Predicate<FabricDomain> ownDomains,
            ModelDemand demand,
            EpochSource epochs,
            Map<BackendServer.Lifetime, String> stagedElsewhere,
            PlanPolicy policy,
            int loadsAllowed,
            boolean beforeRequests) {
        /** Returns whether an engine accepts work and is not known to be unresponsive. */
        boolean isHealthy(BackendServer s) {
            return s.ready() && !lost.contains(s.lifetime());
        }

        /** Returns whether this keeper holds the lease on the domain of an engine. */
        boolean owns(BackendServer s) {
            return s.domain().isPresent() && ownDomains.test(s.domain().get());
        }
    }

    /**
     * Sets the servers that are cold, which are not made the head of a new group if another member can be.
     *
     * @param servers the cold servers
     */
    public void coldServers(Set<BackendServer.Lifetime> servers) {
        cold = Set.copyOf(servers);
    }

    /** A source of strictly increasing epochs. */
    public interface EpochSource {
        /**
         * Returns the next epoch.
         *
         * @return the epoch
         */
        long next();
    }

    /**
     * Decides which orders to send now.
     *
     * @param view the fleet as the keeper knows it
     * @param now the current time
     * @return the orders to send
     */
    public List<FormationAction> decide(View view, Moment now) {
        expire(now);
        trackArrivals(view, now);
        staging.update(view, now);
        lossRate.update(view, now);
        List<FormationAction> actions = new ArrayList<>();
        Set<BackendServer> bound = new HashSet<>();
        DomainStatesBuilder states = new DomainStatesBuilder();
        for (GroupView g : GroupView.all(view.engines())) {
            MemberBinding binding = binding(g, view, now, actions);
            if (binding == MemberBinding.RELEASED) {
                continue;
            }
            bound.addAll(g.members().values());
            if (binding == MemberBinding.DISSOLVING) {
                g.members().values().stream().filter(view::isHealthy).forEach(states::addDissolving);
            } else if (!forming.containsKey(g.key())) {
                EngineModel model = g.model().flatMap(view.profile()::model).orElseThrow();
                boolean serving = g.head().orElseThrow().group().orElseThrow().state() == MemberState.OPEN;
                states.addGroup(
                        new DomainState.Group(g.key(), model, g.members().values(), serving));
            }
        }
        continueForming(view, now, states, bound, actions);
        for (BackendServer s : view.engines()) {
            if (view.isHealthy(s) && !bound.contains(s)) {
                states.addFree(s);
                freeSince.putIfAbsent(s.lifetime(), now);
            } else {
                freeSince.remove(s.lifetime());
            }
        }
        freeSince.keySet().retainAll(knownEngines);
        ModelDemand demand = lossRate.withReserve(view);
        FleetPlan plan = FleetPlanner.plan(
                states.build(staging.allInProgress(now)),
                new DomainOption.PlanningContext(view.profile(), view.policy(), view.beforeRequests()),
                demand,
                optionsCache);
        startConversion(plan, view, now, actions);
        List<FleetPlan.DomainPlan> own = plan.domains().stream()
                .filter(d -> view.ownDomains().test(d.state().domain()))
                .toList();
        summary = own.stream()
                .map(FleetPlan.DomainPlan::summary)
                .filter(s -> !s.isEmpty())
                .toList();
        int loads = formGroups(own, view, now, actions);
        useIdleEngines(plan, own, view, demand, now, actions);
        List<FormationAction> freeEngineOrders =
                awaitingArrivals(view, now) ? List.of() : staging.ordersForFreeEngines(view, own, loads, now);
        actions.addAll(freeEngineOrders);
        actions.addAll(staging.ordersForServingHosts(view, own, bound, loads - freeEngineOrders.size(), now));
        return actions;
    }

    /** Whether the members of a group are available to other groups. */
    private enum MemberBinding {
        /** The group serves or is being formed; its members stay in it. */
        BOUND,
        /** The group accepts no more requests, but its head may still hold some. */
        DISSOLVING,
        /** The members are free. */
        RELEASED
    }

    /** Returns whether the members of a group are bound to it; if this keeper owns the group, orders its next step. */
    private MemberBinding binding(GroupView g, View view, Moment now, List<FormationAction> actions) {
        if (released.containsKey(g.key())) {
            conversions.remove(g.key());
            return MemberBinding.RELEASED;
        }
        boolean own = g.members().values().stream().allMatch(view::owns);
        Optional<EngineModel> model = g.model().or(() -> plannedModel(g.key())).flatMap(view.profile()::model);
        if (model.isPresent() && g.isComplete(model.get().groupSize(), view::isHealthy)) {
            if (own) {
                updateCompleteGroup(g, now, actions);
            }
            boolean closing = g.head().orElseThrow().group().orElseThrow().state() == MemberState.CLOSING;
            return closing || conversions.isDonor(g.key()) ? MemberBinding.DISSOLVING : MemberBinding.BOUND;
        }
        if (!own) {
            return MemberBinding.DISSOLVING;
        }
        FormingGroup f = forming.get(g.key());
        if (f != null && f.canComplete(g.key(), view, now)) {
            return MemberBinding.BOUND;
        }
        forming.remove(g.key());
        return dissolver.dissolve(g, view, now, actions) ? MemberBinding.DISSOLVING : MemberBinding.RELEASED;
    }

    private Optional<String> plannedModel(GroupKey key) {
        return Optional.ofNullable(forming.get(key)).map(f -> f.plan().model().name());
    }

    /** Opens a complete group once all members are ready; a donor is closed or left instead. */
    private void updateCompleteGroup(GroupView g, Moment now, List<FormationAction> actions) {
        BackendServer head = g.head().orElseThrow();
        if (g.all(MemberState.READY) && conversions.isDonor(g.key())) {
            sentOrders.addIfDue(
                    new FormationAction.Leave(head, g.key(), "another model needs its engines"), now, actions);
        } else if (g.all(MemberState.READY)) {
            sentOrders.addIfDue(new FormationAction.Open(head, g.key(), "all members are ready"), now, actions);
        } else if (head.group().orElseThrow().state() == MemberState.OPEN) {
            if (conversions.isDonor(g.key())) {
                sentOrders.addIfDue(
                        new FormationAction.Close(head, g.key(), "another model needs its engines"), now, actions);
            }
            forming.remove(g.key());
        }
    }

    /** Reserves the members of groups that are being formed and repeats the joins that they have not reported yet. */
    private void continueForming(
            View view,
            Moment now,
            DomainStatesBuilder states,
            Set<BackendServer> bound,
            List<FormationAction> actions) {
        Map<BackendServer.Lifetime, BackendServer> listed = new HashMap<>();
        view.engines().forEach(s -> listed.put(s.lifetime(), s));
        for (Map.Entry<GroupKey, FormingGroup> e : List.copyOf(forming.entrySet())) {
            GroupPlanner.Plan plan = e.getValue().plan();
            // A change of the configuration may have altered or removed the model since the group was planned.
            Optional<EngineModel> model = view.profile().model(plan.model().name());
            if (model.isEmpty() || !e.getValue().canComplete(e.getKey(), view, now)) {
                forming.remove(e.getKey());
                continue;
            }
            if (plan.members().stream().allMatch(view::owns)) {
                orderJoins(plan, e.getKey(), view, now, "the join is not yet reported", actions);
            }
            List<BackendServer> members =
                    plan.members().stream().map(m -> listed.get(m.lifetime())).toList();
            bound.addAll(members);
            states.addGroup(new DomainState.Group(e.getKey(), model.get(), members, false));
        }
    }

    /**
     * Closes groups whose engines another model needs. All keepers see the same list and choose the same domain; only
     * the keeper of that domain acts. None acts while several groups are closing, because keepers that decide
     * concurrently would otherwise dissolve too many groups.
     */
    private void startConversion(FleetPlan plan, View view, Moment now, List<FormationAction> actions) {
        long closing = view.engines().stream()
                .flatMap(s -> s.group().stream())
                .filter(m -> m.state() == MemberState.CLOSING)
                .count();
        if (view.beforeRequests() || closing >= MAX_CLOSING_GROUPS || conversions.inProgress()) {
            return;
        }
        Optional<FleetPlan.DomainPlan> conversion = plan.nextConversion();
        if (conversion.isEmpty()
                || !view.ownDomains().test(conversion.get().state().domain())) {
            return;
        }
        List<GroupKey> donors = conversion.get().nextDonors();
        conversions.start(donors, now);
        String reason = "the plan gives its engines to another model";
        for (BackendServer s : view.engines()) {
            if (s.group().filter(m -> m.head() && donors.contains(m.key())).isPresent()) {
                sentOrders.addIfDue(new FormationAction.Close(s, s.group().get().key(), reason), now, actions);
            }
        }
    }

    private boolean awaitingArrivals(View view, Moment now) {
        return view.beforeRequests() && (lastArrival == null || now.isBefore(lastArrival.plus(ARRIVAL_QUIET_PERIOD)));
    }

    /**
     * Forms the planned groups whose members are all free and returns the number of loads that may still start. After
     * the first request, a group is formed only when no member has to load weights from the weight store; such a member
     * stages them first, so that the others do not idle in the group meanwhile.
     */
    private int formGroups(List<FleetPlan.DomainPlan> domains, View view, Moment now, List<FormationAction> actions) {
        if (awaitingArrivals(view, now)) {
            return 0;
        }
        int loads = view.loadsAllowed();
        for (FleetPlan.DomainPlan d : domains) {
            Set<BackendServer> free = new HashSet<>(d.state().free());
            for (GroupPlanner.Plan plan : d.groups()) {
                int needed = plan.loadCount();
                boolean loadable = needed == 0 || (view.beforeRequests() && needed <= loads);
                if (!loadable || !free.containsAll(plan.members())) {
                    continue;
                }
                loads -= needed;
                form(plan, view, now, "planned for " + d.state().domain(), actions);
            }
        }
        return loads;
    }

    private void form(GroupPlanner.Plan planned, View view, Moment now, String reason, List<FormationAction> actions) {
        GroupPlanner.Plan plan = planned.withWarmHead(s -> cold.contains(s.lifetime()));
        GroupKey key = GroupName.of(
                view.epochs().next(), plan.members().get(0), plan.model().name());
        forming.put(key, new FormingGroup(plan, now));
        orderJoins(plan, key, view, now, reason, actions);
    }

    /** Forms groups of engines that the plan leaves idle for now although they can serve without loads of weights. */
    private void useIdleEngines(
            FleetPlan plan,
            List<FleetPlan.DomainPlan> own,
            View view,
            ModelDemand demand,
            Moment now,
            List<FormationAction> actions) {
        if (view.beforeRequests()) {
            return;
        }
        Map<String, Double> slots = new HashMap<>();
        for (FleetPlan.DomainPlan d : plan.domains()) {
            d.state()
                    .groups()
                    .forEach(g -> slots.merge(
                            g.model().name(), (double) view.profile().slots(), Double::sum));
        }
        IdleEngines idle = new IdleEngines(
                view.profile(), demand, slots, !lossRate.hasRecentLosses(), freeSince, conversions, now);
        for (FleetPlan.DomainPlan d : own) {
            String reason = "idle engines of " + d.state().domain() + " need no loads";
            idle.groups(d).forEach(g -> form(g, view, now, reason, actions));
        }
    }

    /** Orders the members that do not report the group yet to join it. */
    private void orderJoins(
            GroupPlanner.Plan plan, GroupKey key, View view, Moment now, String reason, List<FormationAction> actions) {
        for (BackendServer m : plan.members()) {
            boolean pending = view.engines().stream()
                    .filter(s -> s.lifetime().equals(m.lifetime()))
                    .noneMatch(s -> s.group().map(GroupMembership::key).equals(Optional.of(key)));
            if (pending) {
                sentOrders.addIfDue(
                        new FormationAction.Join(m, key, plan.model().name(), plan.members(), reason), now, actions);
            }
        }
    }

    /**
     * Records that the head of a group has left it, which frees the members.
     *
     * @param key the group
     * @param now the current time
     */
    public void headLeft(GroupKey key, Moment now) {
        released.put(key, now);
    }

    /**
     * Returns a summary of the last plan for this keeper's domains, for logs.
     *
     * @return a line for each domain that changes
     */
    public List<String> summary() {
        return summary;
    }

    /**
     * Returns the models that hosts are staging on this keeper's orders.
     *
     * @param now the current time
     * @return the models, by engine
     */
    public Map<BackendServer.Lifetime, String> staging(Moment now) {
        return staging.inProgress(now);
    }

    /**
     * Records that an order did not reach the engine, so that the next decision may repeat it.
     *
     * @param action the order that was not sent
     */
    public void orderNotSent(FormationAction action) {
        sentOrders.remove(action);
        if (action instanceof FormationAction.Stage) {
            staging.remove(action.server().lifetime());
        }
    }

    /**
     * Records that the order to leave did not reach a head that may still serve; it is repeated less often, but at once
     * when the head is no longer listed.
     *
     * @param action the order that was not delivered
     * @param now the current time
     */
    public void leaveNotDelivered(FormationAction.Leave action, Moment now) {
        sentOrders.recordUnreachable(action, now);
    }

    /**
     * Records that an engine refused an order; it may be repeated once the engine's next report is in the list.
     *
     * @param action the order that the engine refused
     * @param now the current time
     */
    public void orderRefused(FormationAction action, Moment now) {
        Moment resendAt = sentOrders.recordRefusal(action, now);
        if (action instanceof FormationAction.Stage) {
            staging.recordRefusal(action.server().lifetime(), resendAt);
        }
    }

    /**
     * Records that an engine is carrying out an order of another keeper, possibly one to stage weights.
     *
     * @param server the engine
     * @param now the current time
     */
    public void busyWithUnknownOrder(BackendServer.Lifetime server, Moment now) {
        staging.recordUnknownStaging(server, now);
    }

    /**
     * Abandons a group that cannot be formed because a member refused to join it.
     *
     * @param key the group
     */
    public void joinRefused(GroupKey key) {
        forming.remove(key);
    }

    private void trackArrivals(View view, Moment now) {
        Set<BackendServer.Lifetime> present = new HashSet<>();
        view.engines().forEach(s -> present.add(s.lifetime()));
        if (!knownEngines.containsAll(present)) {
            lastArrival = now;
        }
        knownEngines = present;
    }

    private void expire(Moment now) {
        Moment old = now.minus(Duration.ofMinutes(1));
        released.values().removeIf(m -> m.isBefore(old));
        dissolver.expire(old);
        conversions.expire(now);
        sentOrders.expire(old);
    }
}
