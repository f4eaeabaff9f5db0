package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.time.Moment;

/**
 * Finds groups that idle engines can form at once although the plan has another use for them later. Engines whose plan
 * needs loads would otherwise wait for them for many seconds; a group formed meanwhile serves until the loads are
 * complete and is then dissolved like any other donor.
 *
 * <p>An engine that joins a group of another model than its last one gives up the weights of that one. While engines
 * are being lost, those weights are the reserve from which groups are formed again without loads, so they are given up
 * only for a model that is below its demand.
 */
final class IdleEngines {
    /**
     * How long free engines wait for the other members of a planned group that needs no loads: as long as the plan
     * assumes that a group takes to dissolve.
     */
    private static final Duration MAX_WAIT_FOR_MEMBERS = Duration.ofMillis(500);

    private final EngineProfile profile;
    private final ModelDemand demand;
    private final Map<String, Double> slots;
    private final boolean mayOverwrite;
    private final Map<BackendServer.Lifetime, Moment> freeSince;
    private final Conversions conversions;
    private final Moment now;

    /**
     * Creates the rules for one decision.
     *
     * @param profile the performance profile of the engines
     * @param demand the demand for each model, with its reserve
     * @param slots the slots of each model that serve or are being formed in the fleet
     * @param mayOverwrite whether engines may give up the weights of their last model for a model above its demand
     * @param freeSince since when engines are free
     * @param conversions the conversions of this keeper
     * @param now the current time
     */
    IdleEngines(
            EngineProfile profile,
            ModelDemand demand,
            Map<String, Double> slots,
            boolean mayOverwrite,
            Map<BackendServer.Lifetime, Moment> freeSince,
            Conversions conversions,
            Moment now) {
        this.profile = profile;
        this.demand = demand;
        this.slots = new HashMap<>(slots);
        this.mayOverwrite = mayOverwrite;
        this.freeSince = freeSince;
        this.conversions = conversions;
        this.now = now;
    }

    /** Returns the groups to form in addition to those of a domain's plan, which count in the next calls. */
    List<GroupPlanner.Plan> groups(FleetPlan.DomainPlan plan) {
        List<BackendServer> idle = new ArrayList<>(plan.state().free());
        idle.removeAll(reserved(plan));
        List<GroupPlanner.Plan> result = new ArrayList<>();
        while (true) {
            Optional<GroupPlanner.Plan> next = profile.models().stream()
                    .sorted(Comparator.comparingDouble(
                            (EngineModel m) -> slots.getOrDefault(m.name(), 0.0) / demand.slots(m.name())))
                    .flatMap(m -> group(m, idle).stream())
                    .findFirst();
            if (next.isEmpty()) {
                return result;
            }
            result.add(next.get());
            idle.removeAll(next.get().members());
            slots.merge(next.get().model().name(), (double) profile.slots(), Double::sum);
        }
    }

    /** Returns the members of planned groups that are formed now, or that wait for other members for a short time. */
    private Set<BackendServer> reserved(FleetPlan.DomainPlan plan) {
        Set<BackendServer> result = new HashSet<>();
        for (GroupPlanner.Plan g : plan.groups()) {
            boolean allFree = plan.state().free().containsAll(g.members());
            boolean wait = g.members().stream().noneMatch(this::hasWaited);
            boolean converting = g.members().stream().anyMatch(this::isMemberOfDonor);
            if (g.loadCount() == 0 && (allFree || wait || converting)) {
                result.addAll(g.members());
            }
        }
        return result;
    }

    private boolean isMemberOfDonor(BackendServer s) {
        return s.group().filter(m -> conversions.isDonor(m.key())).isPresent();
    }

    private boolean hasWaited(BackendServer s) {
        Moment since = freeSince.get(s.lifetime());
        return since != null && !now.isBefore(since.plus(MAX_WAIT_FOR_MEMBERS));
    }

    /** Returns a group of engines that hold the weights of a model, first of those that no other model can use. */
    private Optional<GroupPlanner.Plan> group(EngineModel model, List<BackendServer> idle) {
        List<BackendServer> holders = new ArrayList<>(idle);
        holders.removeIf(s -> !holds(s, model));
        if (!mayOverwrite && slots.getOrDefault(model.name(), 0.0) >= demand.slots(model.name())) {
            holders.removeIf(s -> !s.model().equals(Optional.of(model.name())));
        }
        if (holders.size() < model.groupSize()) {
            return Optional.empty();
        }
        holders.sort(Comparator.comparing((BackendServer s) -> GroupPlanner.joinTime(model, s))
                .thenComparing(
                        s -> profile.models().stream().filter(m -> holds(s, m)).count())
                .thenComparing(BackendServer::id));
        return Optional.of(GroupPlanner.Plan.of(model, holders.subList(0, model.groupSize())));
    }

    private static boolean holds(BackendServer s, EngineModel model) {
        return !GroupPlanner.joinTime(model, s).equals(model.loadTime());
    }
}
