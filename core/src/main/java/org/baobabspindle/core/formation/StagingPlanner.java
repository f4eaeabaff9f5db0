package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/**
 * Decides which weights the free engines of one domain stage, when what they hold suffices for no group. Answers new engines
 * without weights, and survivors that hold different models.
 */
final class StagingPlanner {
    private StagingPlanner() {}

    /**
     * An engine that shall stage a model.
     *
     * @param server the engine
     * @param model the model
     */
    record Stage(BackendServer server, EngineModel model) {}

    private record Option(EngineModel model, int lacking, double score) {}

    /** Plans for the engines that are left when no group can be formed from them. */
    static List<Stage> plan(
            EngineProfile profile,
            List<BackendServer> free,
            Map<String, Integer> groups,
            ModelDemand demand,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        List<BackendServer> idle = new ArrayList<>(free);
        idle.removeIf(s -> stagingNow.apply(s.lifetime()).isPresent());
        Optional<EngineModel> wanted = bestGroup(profile, free, groups, demand, stagingNow)
                .or(() -> GroupPlanner.worthStaging(profile, groups, demand));
        if (wanted.isEmpty()) {
            return List.of();
        }
        int lacking = wanted.get().groupSize() - holding(free, wanted.get(), stagingNow);
        List<BackendServer> without = new ArrayList<>(idle);
        without.removeIf(s -> holds(s, wanted.get(), stagingNow));
        without.sort(Comparator.comparing((BackendServer s) -> !empty(s)).thenComparing(BackendServer::id));
        List<Stage> result = new ArrayList<>();
        for (BackendServer s : without) {
            boolean needed =
                    result.size() < lacking && free.size() >= wanted.get().groupSize();
            if (needed || empty(s)) {
                result.add(new Stage(s, wanted.get()));
            }
        }
        return result;
    }

    private static Optional<EngineModel> bestGroup(
            EngineProfile profile,
            List<BackendServer> free,
            Map<String, Integer> groups,
            ModelDemand demand,
            Function<BackendServer.Lifetime, Optional<String>> stagingNow) {
        List<Option> options = new ArrayList<>();
        for (EngineModel m : profile.models()) {
            int lacking = m.groupSize() - holding(free, m, stagingNow);
            if (m.groupSize() <= free.size()) {
                double cost = Math.max(1, lacking) * m.loadTime().toMillis();
                options.add(new Option(m, lacking, GroupPlanner.need(profile, m, groups, demand) / cost));
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
