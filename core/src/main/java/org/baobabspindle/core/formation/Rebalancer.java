package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;

/**
 * Decides when groups of a model with room to spare give their engines to a model that is short. Answers a run of losses
 * that leaves pairs everywhere and nowhere the four engines that a larger model needs.
 */
final class Rebalancer {
    /** The taken share of its slots from which a model counts as short; fuller groups answer late. */
    private static final double SHORT = 0.5;

    /** How much fuller the short model must be than the donor would become; less would be undone soon after. */
    private static final double ADVANTAGE = 1.35;

    private Rebalancer() {}

    /**
     * What one domain could give.
     *
     * @param domain the domain
     * @param free its free engines
     * @param serving its serving groups
     */
    record DomainView(FabricDomain domain, List<BackendServer> free, List<GroupView> serving) {
        /** Returns the views of all domains that have serving groups. */
        static List<DomainView> all(Formation.View view, Map<FabricDomain, List<BackendServer>> free) {
            Map<FabricDomain, DomainView> domains = new TreeMap<>();
            for (GroupView g : GroupView.all(view.engines())) {
                Optional<EngineModel> model = g.model().flatMap(view.profile()::model);
                Optional<FabricDomain> domain = g.head().flatMap(BackendServer::domain);
                if (model.isPresent()
                        && domain.isPresent()
                        && g.whole(model.get().groupSize(), view::sound)) {
                    domains.computeIfAbsent(
                                    domain.get(),
                                    d -> new DomainView(d, free.getOrDefault(d, List.of()), new ArrayList<>()))
                            .serving()
                            .add(g);
                }
            }
            return List.copyOf(domains.values());
        }
    }

    /**
     * Groups to dissolve for another one.
     *
     * @param domain the domain
     * @param model the model to form
     * @param donors the groups to dissolve
     */
    record Conversion(FabricDomain domain, EngineModel model, List<GroupKey> donors) {}

    private record Candidate(Conversion conversion, Duration readyAfter) {}

    /** Chooses the cheapest conversion over all domains, if one is worth its while. */
    static Optional<Conversion> choose(
            EngineProfile profile, List<DomainView> domains, Map<String, Integer> groups, ModelDemand demand) {
        for (EngineModel wanted : profile.models()) {
            List<Candidate> candidates = new ArrayList<>();
            domains.forEach(d -> candidates.addAll(candidates(profile, d, wanted, groups, demand)));
            Optional<Candidate> best = candidates.stream()
                    .min(Comparator.comparing(Candidate::readyAfter)
                            .thenComparing(c -> c.conversion().donors().size())
                            .thenComparing(c -> c.conversion().domain()));
            if (best.isPresent()) {
                return best.map(Candidate::conversion);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the model that the free engines of a domain should be kept for, because it is short and a conversion in this
     * domain would use them. Survivors of a large group would else become small ones and lose its weights.
     */
    static Optional<EngineModel> keptFor(
            EngineProfile profile, DomainView domain, Map<String, Integer> groups, ModelDemand demand) {
        for (EngineModel wanted : profile.models()) {
            boolean holding = domain.free().stream()
                    .anyMatch(s -> !GroupPlanner.joinTime(wanted, s).equals(wanted.loadTime()));
            if (holding && !candidates(profile, domain, wanted, groups, demand).isEmpty()) {
                return Optional.of(wanted);
            }
        }
        return Optional.empty();
    }

    private static List<Candidate> candidates(
            EngineProfile profile,
            DomainView domain,
            EngineModel wanted,
            Map<String, Integer> groups,
            ModelDemand demand) {
        List<Candidate> candidates = new ArrayList<>();
        double taken = taken(profile, wanted, groups.getOrDefault(wanted.name(), 0), demand);
        if (taken < SHORT) {
            return candidates;
        }
        for (EngineModel donor : profile.models()) {
            if (donor.equals(wanted)) {
                continue;
            }
            candidate(domain, wanted, donor).ifPresent(c -> {
                int left = groups.getOrDefault(donor.name(), 0)
                        - c.conversion().donors().size();
                if (left > 0 && taken > ADVANTAGE * taken(profile, donor, left, demand)) {
                    candidates.add(c);
                }
            });
        }
        return candidates;
    }

    private static double taken(EngineProfile profile, EngineModel model, int groups, ModelDemand demand) {
        return demand.slots(model.name()) / (Math.max(groups, 0.5) * profile.slots());
    }

    /** Returns the donors of one domain that, with its free engines, suffice for a group without loading weights. */
    private static Optional<Candidate> candidate(DomainView d, EngineModel wanted, EngineModel donor) {
        List<GroupView> donors = new ArrayList<>(d.serving().stream()
                .filter(g -> g.model().equals(Optional.of(donor.name())))
                .toList());
        donors.sort(Comparator.comparing((GroupView g) -> slowest(wanted, g))
                .thenComparing(g -> g.key().epoch()));
        List<BackendServer> engines = new ArrayList<>(d.free());
        List<GroupKey> chosen = new ArrayList<>();
        for (GroupView g : donors) {
            if (engines.size() >= wanted.groupSize()) {
                break;
            }
            engines.addAll(g.members().values());
            chosen.add(g.key());
        }
        if (engines.size() < wanted.groupSize() || chosen.isEmpty()) {
            return Optional.empty();
        }
        Duration readyAfter = engines.stream()
                .map(s -> GroupPlanner.joinTime(wanted, s))
                .sorted()
                .skip(wanted.groupSize() - 1L)
                .findFirst()
                .orElseThrow();
        if (readyAfter.equals(wanted.loadTime())) {
            return Optional.empty();
        }
        return Optional.of(new Candidate(new Conversion(d.domain(), wanted, chosen), readyAfter));
    }

    private static Duration slowest(EngineModel wanted, GroupView g) {
        return g.members().values().stream()
                .map(s -> GroupPlanner.joinTime(wanted, s))
                .max(Comparator.naturalOrder())
                .orElse(wanted.loadTime());
    }
}
