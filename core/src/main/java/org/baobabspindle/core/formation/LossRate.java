package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.time.Moment;

/**
 * Estimates the reserve that each model needs beyond its demand from the rate at which engines were lost. A group that
 * loses a member serves again only once another engine holds the weights, so the reserve covers the share of the groups
 * that lose a member within the load time; large groups lose members more often than small ones.
 */
final class LossRate {
    /** The time over which losses are counted: about the time of a load, during which a loss has an effect. */
    private static final Duration WINDOW = Duration.ofSeconds(15);

    /** The maximum reserve as a share of the demand, so that many losses do not change the balance of the models completely. */
    private static final double MAX_RESERVE = 0.5;

    /**
     * The losses that count when more engines of a domain are lost at once. The loss of a whole domain is one event; it
     * does not predict further losses, and groups that are still serving must not be dissolved for them.
     */
    private static final int MAX_LOSSES_AT_ONCE = 2;

    /**
     * The largest size of a small group. A lost member of such a group takes few engines out of service, so that fleets with
     * small groups only are planned without reserves, which cost them more conversions than they save.
     */
    private static final int MAX_SMALL_GROUP = 4;

    private final Deque<Moment> losses = new ArrayDeque<>();
    private Map<BackendServer.Lifetime, String> previous = Map.of();

    /** Counts the engines that are no longer healthy. */
    void update(Formation.View view, Moment now) {
        Map<BackendServer.Lifetime, String> healthy = new HashMap<>();
        Set<BackendServer.Lifetime> draining = new HashSet<>();
        for (BackendServer s : view.engines()) {
            if (view.isHealthy(s)) {
                healthy.put(s.lifetime(), s.failureDomain());
            } else if (!s.ready()) {
                draining.add(s.lifetime());
            }
        }
        Map<String, Integer> lost = new HashMap<>();
        previous.forEach((s, domain) -> {
            if (!healthy.containsKey(s) && !draining.contains(s)) {
                lost.merge(domain, 1, Integer::sum);
            }
        });
        lost.values().forEach(n -> losses.addAll(Collections.nCopies(Math.min(n, MAX_LOSSES_AT_ONCE), now)));
        previous = healthy;
        while (!losses.isEmpty() && losses.peekFirst().isBefore(now.minus(WINDOW))) {
            losses.removeFirst();
        }
    }

    /** Returns whether no model has groups for which reserves are planned. */
    static boolean hasSmallGroupsOnly(List<EngineModel> models) {
        return models.stream().allMatch(m -> m.groupSize() <= MAX_SMALL_GROUP);
    }

    /** Returns whether engines were lost in the last seconds. */
    boolean hasRecentLosses() {
        return !losses.isEmpty();
    }

    /** Returns the demand with the reserve that the losses of the last seconds call for. */
    ModelDemand withReserve(Formation.View view) {
        if (losses.isEmpty()
                || view.beforeRequests()
                || previous.isEmpty()
                || hasSmallGroupsOnly(view.profile().models())) {
            return view.demand();
        }
        double lossesPerEngine = (double) losses.size() / previous.size();
        Map<String, Double> slots = new HashMap<>();
        for (EngineModel m : view.profile().models()) {
            double share = lossesPerEngine * m.groupSize() * m.loadTime().toMillis() / WINDOW.toMillis();
            slots.put(m.name(), view.demand().slots(m.name()) * (1 + Math.min(MAX_RESERVE, share)));
        }
        return ModelDemand.of(slots);
    }
}
