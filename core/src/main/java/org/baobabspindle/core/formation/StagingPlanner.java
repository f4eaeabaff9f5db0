package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/**
 * Decides which weights the free engines of one domain stage, when what they hold suffices for no group. Answers new engines
 * without weights, and survivors that hold different models.
 */
final class StagingPlanner {
    /** The loads that a group counts with whose members hold its weights or are loading them: it comes first. */
    private static final double NEXT_TO_NOTHING = 0.01;

    private StagingPlanner() {}

    /**
     * What free engines of a domain shall stage for one purpose.
     *
     * @param model the model
     * @param servers the engines, those first that hold nothing
     * @param forGroup whether they are all that a group of the domain's free engines lacks
     */
    record Batch(EngineModel model, List<BackendServer> servers, boolean forGroup) {}

    private record Option(EngineModel model, double score) {}

    /**
     * Plans for the engines that are left when no group can be formed from them: what the groups lack that could be formed,
     * the most wanted one first, and what the engines without weights that remain may stage beyond. Only the first group may
     * replace weights that an engine holds.
     */
    static List<Batch> plan(
            EngineProfile profile,
            List<BackendServer> free,
            Map<String, Integer> groups,
            ModelDemand demand,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        List<Batch> result = new ArrayList<>();
        List<BackendServer> left = new ArrayList<>(free);
        Map<String, Integer> planned = new HashMap<>(groups);
        while (true) {
            boolean replacing = planned.equals(groups);
            Predicate<BackendServer> idle = s -> stagingNow.apply(s.lifetime()).isEmpty() && (replacing || empty(s));
            Optional<EngineModel> best = bestGroup(profile, left, planned, demand, stagingNow, idle);
            if (best.isEmpty()) {
                break;
            }
            List<BackendServer> lacking = takeGroup(best.get(), left, stagingNow);
            planned.merge(best.get().name(), 1, Integer::sum);
            if (!lacking.isEmpty()) {
                result.add(new Batch(best.get(), lacking, true));
            }
        }
        left.removeIf(s -> !empty(s) || stagingNow.apply(s.lifetime()).isPresent());
        Optional<EngineModel> wanted = GroupPlanner.worthStaging(profile, planned, demand);
        if (wanted.isPresent() && !left.isEmpty()) {
            result.add(new Batch(wanted.get(), left, false));
        }
        return result;
    }

    /** Takes the members of a group out of the engines and returns those of them that must stage its model. */
    private static List<BackendServer> takeGroup(
            EngineModel model,
            List<BackendServer> left,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        left.sort(Comparator.comparing((BackendServer s) -> !holds(s, model, stagingNow))
                .thenComparing(s -> stagingNow.apply(s.lifetime()).isPresent())
                .thenComparing(s -> !empty(s))
                .thenComparing(BackendServer::id));
        List<BackendServer> members = new ArrayList<>(left.subList(0, model.groupSize()));
        left.removeAll(members);
        members.removeIf(s -> holds(s, model, stagingNow));
        return members;
    }

    private static Optional<EngineModel> bestGroup(
            EngineProfile profile,
            List<BackendServer> free,
            Map<String, Integer> groups,
            ModelDemand demand,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow,
            Predicate<BackendServer> mayStage) {
        List<Option> options = new ArrayList<>();
        for (EngineModel m : profile.models()) {
            int holding = holding(free, m, stagingNow);
            int lacking = Math.max(0, m.groupSize() - holding);
            long able = free.stream()
                    .filter(s -> mayStage.test(s) && !holds(s, m, stagingNow))
                    .count();
            if (m.groupSize() <= free.size() && lacking <= able) {
                double cost = Math.max(NEXT_TO_NOTHING, lacking) * m.loadTime().toMillis();
                options.add(new Option(m, GroupPlanner.need(profile, m, groups, demand) / cost));
            }
        }
        return options.stream().max(Comparator.comparingDouble(Option::score)).map(Option::model);
    }

    private static int holding(
            List<BackendServer> free,
            EngineModel model,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        return (int) free.stream().filter(s -> holds(s, model, stagingNow)).count();
    }

    private static boolean holds(
            BackendServer s, EngineModel model, Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        return !GroupPlanner.joinTime(model, s).equals(model.loadTime())
                || stagingNow.apply(s.lifetime()).equals(Optional.of(model.name()));
    }

    private static boolean empty(BackendServer s) {
        return s.model().isEmpty() && s.staged().isEmpty();
    }
}
