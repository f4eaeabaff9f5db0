package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.time.Moment;

/**
 * The keeper's decisions on the groups of its fabric domains: opens groups whose members are all ready, dissolves those
 * that have lost one, and forms new ones from engines that are free.
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
    private Set<BackendServer.Lifetime> known = Set.of();
    private Moment lastArrival;

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
        Map<String, Integer> groups = new HashMap<>();
        Map<FabricDomain, List<BackendServer>> free = new TreeMap<>();
        Set<BackendServer> bound = new HashSet<>();
        for (GroupView g : GroupView.all(view.engines())) {
            if (keepGroup(g, view, now, actions)) {
                g.model().or(() -> plannedModel(g.key())).ifPresent(m -> groups.merge(m, 1, Integer::sum));
                bound.addAll(g.members().values());
            }
        }
        countUnseen(view, now, groups, bound, actions);
        for (BackendServer s : view.engines()) {
            if (view.sound(s) && view.owns(s) && !bound.contains(s)) {
                free.computeIfAbsent(s.domain().get(), d -> new ArrayList<>()).add(s);
            }
        }
        convert(view, now, free, groups, actions);
        int loads = form(view, now, free, groups, actions);
        if (view.beforeRequests()) {
            actions.addAll(staging.ofServingHosts(view, bound, loads, now));
        } else {
            List<FormationAction> ofFree = staging.ofFreeEngines(view, free.values(), groups, loads, now);
            actions.addAll(ofFree);
            actions.addAll(staging.ofServingHosts(view, bound, loads - ofFree.size(), now));
        }
        return actions;
    }

    /** Returns whether the members of the group stay bound to it; otherwise they are free. */
    private boolean keepGroup(GroupView g, View view, Moment now, List<FormationAction> actions) {
        if (released.containsKey(g.key())) {
            return false;
        }
        boolean own = g.members().values().stream().allMatch(view::owns);
        Optional<EngineModel> model = g.model().or(() -> plannedModel(g.key())).flatMap(view.profile()::model);
        if (model.isPresent() && g.whole(model.get().groupSize(), view::sound)) {
            if (own) {
                open(g, now, actions);
            }
            return true;
        }
        if (!own) {
            return true;
        }
        Forming f = forming.get(g.key());
        if (f != null && f.stillPossible(g.key(), view, now)) {
            orderJoins(f.plan(), g.key(), view, now, "the join is not yet reported", actions);
            return true;
        }
        forming.remove(g.key());
        return dissolution.keepsMembers(g, view, now, actions);
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

    /** Counts groups whose members have not reported anything yet, and keeps their engines from being used elsewhere. */
    private void countUnseen(
            View view,
            Moment now,
            Map<String, Integer> groups,
            Set<BackendServer> bound,
            List<FormationAction> actions) {
        Set<GroupKey> seen = new HashSet<>();
        view.engines().forEach(s -> s.group().ifPresent(m -> seen.add(m.key())));
        for (Map.Entry<GroupKey, Forming> e : List.copyOf(forming.entrySet())) {
            GroupPlanner.Plan plan = e.getValue().plan();
            if (!seen.contains(e.getKey())) {
                if (!e.getValue().stillPossible(e.getKey(), view, now)) {
                    forming.remove(e.getKey());
                    continue;
                }
                groups.merge(plan.model().name(), 1, Integer::sum);
                orderJoins(plan, e.getKey(), view, now, "the join is not yet reported", actions);
            }
            Set<BackendServer.Lifetime> members = new HashSet<>();
            plan.members().forEach(m -> members.add(m.lifetime()));
            view.engines().stream().filter(s -> members.contains(s.lifetime())).forEach(bound::add);
        }
    }

    /**
     * Closes groups whose engines another model needs. All keepers see the same list and choose the same domain; only its own
     * keeper acts, and none while several groups are closing, so that
     * keepers that decide at the same time do not dissolve too many.
     */
    private void convert(
            View view,
            Moment now,
            Map<FabricDomain, List<BackendServer>> free,
            Map<String, Integer> groups,
            List<FormationAction> actions) {
        long closingNow = view.engines().stream()
                .flatMap(s -> s.group().stream())
                .filter(m -> m.state() == MemberState.CLOSING)
                .count();
        if (view.beforeRequests() || closingNow >= MOST_CLOSING || conversions.underWay()) {
            return;
        }
        Optional<Rebalancer.Conversion> chosen =
                Rebalancer.choose(view.profile(), Rebalancer.DomainView.all(view, free), groups, view.demand());
        if (chosen.isEmpty() || !view.ownDomains().test(chosen.get().domain())) {
            return;
        }
        conversions.begin(chosen.get(), now);
        for (GroupKey donor : chosen.get().donors()) {
            view.engines().stream()
                    .filter(s -> s.group()
                            .filter(m -> m.head() && m.key().equals(donor))
                            .isPresent())
                    .forEach(s -> orders.add(
                            new FormationAction.Close(
                                    s, donor, chosen.get().model().name() + " is short of groups"),
                            now,
                            actions));
        }
    }

    /** Forms groups from free engines and returns the loads that may still begin. */
    private int form(
            View view,
            Moment now,
            Map<FabricDomain, List<BackendServer>> free,
            Map<String, Integer> groups,
            List<FormationAction> actions) {
        if (view.beforeRequests() && now.isBefore(lastArrival.plus(ARRIVAL_PAUSE))) {
            return 0;
        }
        int loads = view.loadsAllowed();
        Map<FabricDomain, Rebalancer.DomainView> domains = new HashMap<>();
        Rebalancer.DomainView.all(view, free).forEach(d -> domains.put(d.domain(), d));
        Set<GroupKey> present = new HashSet<>();
        view.engines().forEach(s -> s.group().ifPresent(m -> present.add(m.key())));
        for (Map.Entry<FabricDomain, List<BackendServer>> e : free.entrySet()) {
            Optional<EngineModel> promised = conversions.promised(e.getKey());
            if (conversions.awaitsDonors(e.getKey(), d -> present.contains(d) && !released.containsKey(d), now)) {
                continue;
            }
            if (promised.isEmpty() && keptForAnother(view, domains.get(e.getKey()), groups)) {
                continue;
            }
            List<BackendServer> left = new ArrayList<>(e.getValue());
            left.sort(Comparator.comparing(BackendServer::id));
            while (true) {
                Optional<GroupPlanner.Plan> plan = promised.filter(m -> m.groupSize() <= left.size())
                        .map(m -> GroupPlanner.plan(m, left))
                        .or(() ->
                                GroupPlanner.next(view.profile(), left, groups, view.demand(), view.beforeRequests()));
                promised = Optional.empty();
                if (plan.isEmpty()) {
                    break;
                }
                int needed = plan.get().loads();
                if (needed > loads) {
                    break;
                }
                loads -= needed;
                left.removeAll(plan.get().members());
                groups.merge(plan.get().model().name(), 1, Integer::sum);
                long epoch = view.epochs().next();
                GroupKey key = GroupName.of(
                        epoch, plan.get().members().get(0), plan.get().model().name());
                forming.put(key, new Forming(plan.get(), now));
                orderJoins(plan.get(), key, view, now, "free engines in " + e.getKey(), actions);
            }
            e.setValue(left);
        }
        return loads;
    }

    /** Returns whether the free engines of a domain wait for groups of another model to give theirs. */
    private static boolean keptForAnother(View view, Rebalancer.DomainView domain, Map<String, Integer> groups) {
        return !view.beforeRequests()
                && domain != null
                && Rebalancer.keptFor(view.profile(), domain, groups, view.demand())
                        .isPresent();
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
    public void notSent(FormationAction action) {
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
    public void refused(FormationAction action, Moment now) {
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
    public void busyWithAnother(BackendServer.Lifetime server, Moment now) {
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
