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
 * The keeper's decisions on the groups of its fabric domains: opens groups whose members are all ready, dissolves those
 * that have lost one, and forms new ones as the plan for the whole fleet says.
 *
 * <p>An engine is free only once the head of its former group is known to have left it, to be broken or to be gone.
 */
public final class Formation {
    /** Groups that may be closing when another conversion begins; those of one conversion. */
    private static final int MOST_CLOSING = 2;

    /** Before the first request, groups wait this long for further engines, which start at about the same time. */
    private static final Duration ARRIVAL_PAUSE = Duration.ofMillis(500);

    private final Map<GroupKey, Forming> forming = new HashMap<>();
    private final Map<GroupKey, Moment> released = new HashMap<>();
    private final SentOrders orders = new SentOrders();
    private final Dissolution dissolution = new Dissolution(orders);
    private final HostStaging staging = new HostStaging();
    private final Conversions conversions = new Conversions();
    private final DomainOptionsCache options = new DomainOptionsCache();
    private Set<BackendServer.Lifetime> known = Set.of();
    private Moment lastArrival;
    private List<String> summary = List.of();

    /** Creates decisions that know of no group. */
    public Formation() {}

    /**
     * What a keeper knows when it decides.
     *
     * @param profile how the engines work
     * @param engines the engines of the service, of all domains
     * @param lost the lives of engines that do not answer
     * @param ownDomains whether this keeper decides for a domain
     * @param demand the demand for each model
     * @param epochs the source of epochs of new groups
     * @param stagedElsewhere the models that hosts stage on orders of other keepers
     * @param policy what the users weigh against each other
     * @param loadsAllowed how many engines may begin to load weights now
     * @param beforeRequests whether no request has been seen yet; loads are faster then and nothing is urgent
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
        /** Tells whether an engine takes work and answers. */
        boolean sound(BackendServer s) {
            return s.ready() && !lost.contains(s.lifetime());
        }

        /** Tells whether this keeper decides for an engine. */
        boolean owns(BackendServer s) {
            return s.domain().isPresent() && ownDomains.test(s.domain().get());
        }
    }

    /** Gives out epochs, each greater than all before. */
    public interface EpochSource {
        /**
         * Returns the next epoch.
         *
         * @return the epoch
         */
        long next();
    }

    /**
     * Decides what to order now.
     *
     * @param view what is known
     * @param now the present time
     * @return the orders to send
     */
    public List<FormationAction> decide(View view, Moment now) {
        expire(now);
        arrivals(view, now);
        staging.update(view, now);
        List<FormationAction> actions = new ArrayList<>();
        Set<BackendServer> bound = new HashSet<>();
        DomainStates states = new DomainStates();
        for (GroupView g : GroupView.all(view.engines())) {
            Standing standing = standing(g, view, now, actions);
            if (standing == Standing.RELEASED) {
                continue;
            }
            bound.addAll(g.members().values());
            if (standing == Standing.ENDING) {
                g.members().values().stream().filter(view::sound).forEach(states::ending);
            } else if (!forming.containsKey(g.key())) {
                EngineModel model = g.model().flatMap(view.profile()::model).orElseThrow();
                boolean serving = g.head().orElseThrow().group().orElseThrow().state() == MemberState.OPEN;
                states.group(new DomainState.Group(g.key(), model, g.members().values(), serving));
            }
        }
        keepForming(view, now, states, bound, actions);
        for (BackendServer s : view.engines()) {
            if (view.sound(s) && !bound.contains(s)) {
                states.free(s);
            }
        }
        FleetPlan plan = FleetPlanner.plan(
                states.all(staging.all(now)),
                new DomainOption.Situation(view.profile(), view.policy(), view.beforeRequests()),
                view.demand(),
                options);
        convert(plan, view, now, actions);
        List<FleetPlan.DomainPlan> own = plan.domains().stream()
                .filter(d -> view.ownDomains().test(d.state().domain()))
                .toList();
        summary = own.stream()
                .map(FleetPlan.DomainPlan::summary)
                .filter(s -> !s.isEmpty())
                .toList();
        int loads = form(own, view, now, actions);
        List<FormationAction> ofFree =
                arrivalsAwaited(view, now) ? List.of() : staging.ofFreeEngines(view, own, loads, now);
        actions.addAll(ofFree);
        actions.addAll(staging.ofServingHosts(view, own, bound, loads - ofFree.size(), now));
        return actions;
    }

    /** How far the engines of a group are bound to it. */
    private enum Standing {
        /** It serves or is being formed. */
        KEPT,
        /** Its head may still hold work, but it serves no longer. */
        ENDING,
        /** Its engines are free. */
        RELEASED
    }

    private Standing standing(GroupView g, View view, Moment now, List<FormationAction> actions) {
        if (released.containsKey(g.key())) {
            conversions.ended(g.key());
            return Standing.RELEASED;
        }
        boolean own = g.members().values().stream().allMatch(view::owns);
        Optional<EngineModel> model = g.model().or(() -> plannedModel(g.key())).flatMap(view.profile()::model);
        if (model.isPresent() && g.isComplete(model.get().groupSize(), view::sound)) {
            if (own) {
                open(g, now, actions);
            }
            boolean closing = g.head().orElseThrow().group().orElseThrow().state() == MemberState.CLOSING;
            return closing || conversions.isDonor(g.key()) ? Standing.ENDING : Standing.KEPT;
        }
        if (!own) {
            return Standing.ENDING;
        }
        Forming f = forming.get(g.key());
        if (f != null && f.stillPossible(g.key(), view, now)) {
            return Standing.KEPT;
        }
        forming.remove(g.key());
        return dissolution.keepsMembers(g, view, now, actions) ? Standing.ENDING : Standing.RELEASED;
    }

    private Optional<String> plannedModel(GroupKey key) {
        return Optional.ofNullable(forming.get(key)).map(f -> f.plan().model().name());
    }

    private void open(GroupView g, Moment now, List<FormationAction> actions) {
        BackendServer head = g.head().orElseThrow();
        if (g.all(MemberState.READY) && conversions.isDonor(g.key())) {
            orders.add(new FormationAction.Leave(head, g.key(), "another model needs its engines"), now, actions);
        } else if (g.all(MemberState.READY)) {
            orders.add(new FormationAction.Open(head, g.key(), "all members are ready"), now, actions);
        } else if (head.group().orElseThrow().state() == MemberState.OPEN) {
            if (conversions.isDonor(g.key())) {
                orders.add(new FormationAction.Close(head, g.key(), "another model needs its engines"), now, actions);
            }
            forming.remove(g.key());
        }
    }

    /** Keeps the engines of groups that are being formed from being used elsewhere, and orders joins not reported yet. */
    private void keepForming(
            View view, Moment now, DomainStates states, Set<BackendServer> bound, List<FormationAction> actions) {
        Map<BackendServer.Lifetime, BackendServer> listed = new HashMap<>();
        view.engines().forEach(s -> listed.put(s.lifetime(), s));
        for (Map.Entry<GroupKey, Forming> e : List.copyOf(forming.entrySet())) {
            GroupPlanner.Plan plan = e.getValue().plan();
            // The configuration may have changed the model since, or taken it away.
            Optional<EngineModel> model = view.profile().model(plan.model().name());
            if (model.isEmpty() || !e.getValue().stillPossible(e.getKey(), view, now)) {
                forming.remove(e.getKey());
                continue;
            }
            orderJoins(plan, e.getKey(), view, now, "the join is not yet reported", actions);
            List<BackendServer> members =
                    plan.members().stream().map(m -> listed.get(m.lifetime())).toList();
            bound.addAll(members);
            states.group(new DomainState.Group(e.getKey(), model.get(), members, false));
        }
    }

    /**
     * Closes groups whose engines another model needs. All keepers see the same list and choose the same domain; only its own
     * keeper acts, and none while several groups are closing, so that
     * keepers that decide at the same time do not dissolve too many.
     */
    private void convert(FleetPlan plan, View view, Moment now, List<FormationAction> actions) {
        long closingNow = view.engines().stream()
                .flatMap(s -> s.group().stream())
                .filter(m -> m.state() == MemberState.CLOSING)
                .count();
        if (view.beforeRequests() || closingNow >= MOST_CLOSING || conversions.underWay()) {
            return;
        }
        Optional<FleetPlan.DomainPlan> chosen = plan.nextConversion();
        if (chosen.isEmpty() || !view.ownDomains().test(chosen.get().state().domain())) {
            return;
        }
        List<GroupKey> donors = chosen.get().nextDonors();
        conversions.begin(donors, now);
        String reason = "the plan gives its engines to another model";
        for (BackendServer s : view.engines()) {
            if (s.group().filter(m -> m.head() && donors.contains(m.key())).isPresent()) {
                orders.add(new FormationAction.Close(s, s.group().get().key(), reason), now, actions);
            }
        }
    }

    private boolean arrivalsAwaited(View view, Moment now) {
        return view.beforeRequests() && now.isBefore(lastArrival.plus(ARRIVAL_PAUSE));
    }

    /**
     * Forms the planned groups whose members are all free and returns the loads that may still begin. No engine waits in a
     * group for another one that loads weights from the weight store, but before the first request: it stages them first.
     */
    private int form(List<FleetPlan.DomainPlan> domains, View view, Moment now, List<FormationAction> actions) {
        if (arrivalsAwaited(view, now)) {
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
                GroupKey key = GroupName.of(
                        view.epochs().next(),
                        plan.members().get(0),
                        plan.model().name());
                forming.put(key, new Forming(plan, now));
                orderJoins(plan, key, view, now, "planned for " + d.state().domain(), actions);
            }
        }
        return loads;
    }

    /** Orders the joins of the members that do not report the group yet. */
    private void orderJoins(
            GroupPlanner.Plan plan, GroupKey key, View view, Moment now, String reason, List<FormationAction> actions) {
        for (BackendServer m : plan.members()) {
            boolean pending = view.engines().stream()
                    .filter(s -> s.lifetime().equals(m.lifetime()))
                    .noneMatch(s -> s.group().map(GroupMembership::key).equals(Optional.of(key)));
            if (pending) {
                orders.add(new FormationAction.Join(m, key, plan.model().name(), plan.members(), reason), now, actions);
            }
        }
    }

    /**
     * Notes that the head of a group has left it, so that its members are free.
     *
     * @param key the group
     * @param now the present time
     */
    public void headLeft(GroupKey key, Moment now) {
        released.put(key, now);
    }

    /**
     * Says what the last plan makes of this keeper's domains, for logs.
     *
     * @return a line for each domain that shall change
     */
    public List<String> summary() {
        return summary;
    }

    /**
     * Returns the models that hosts stage on this keeper's orders.
     *
     * @param now the present time
     * @return the models by engine
     */
    public Map<BackendServer.Lifetime, String> staging(Moment now) {
        return staging.underWay(now);
    }

    /**
     * Takes back that an order was sent, so that it is decided again.
     *
     * @param action the order that the engine did not get
     */
    public void orderNotSent(FormationAction action) {
        orders.forget(action);
        if (action instanceof FormationAction.Stage) {
            staging.forget(action.server().lifetime());
        }
    }

    /**
     * Has an order decided again once the engine's report shows what it did instead.
     *
     * @param action the order that the engine refused
     * @param now the present time
     */
    public void orderRefused(FormationAction action, Moment now) {
        Moment again = orders.refused(action, now);
        if (action instanceof FormationAction.Stage) {
            staging.refused(action.server().lifetime(), again);
        }
    }

    /**
     * Notes that an engine is at an order that this keeper did not give, perhaps one to stage weights.
     *
     * @param server the engine
     * @param now the present time
     */
    public void busyWithUnknownOrder(BackendServer.Lifetime server, Moment now) {
        staging.unknownUnderWay(server, now);
    }

    /**
     * Gives up a group that could not be formed, because a member refused to join it.
     *
     * @param key the group
     */
    public void joinRefused(GroupKey key) {
        forming.remove(key);
    }

    private void arrivals(View view, Moment now) {
        Set<BackendServer.Lifetime> present = new HashSet<>();
        view.engines().forEach(s -> present.add(s.lifetime()));
        if (!known.containsAll(present)) {
            lastArrival = now;
        }
        known = present;
    }

    private void expire(Moment now) {
        Moment old = now.minus(Duration.ofMinutes(1));
        released.values().removeIf(m -> m.isBefore(old));
        dissolution.expire(old);
        conversions.expire(now);
        orders.expire(old);
    }
}
