package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.time.Moment;

/** Runs decisions over engines and groups that tests create. */
abstract class FormationTestSupport {
    static final Moment START = new Moment(0, 0);
    static final GroupKey KEY = GroupName.of(1, Engines.free("e0", "d1"), "small");
    static final GroupKey LARGE_KEY = GroupName.of(1, Engines.free("e0", "d1"), "large");

    final Formation formation = new Formation();
    final Set<BackendServer.Lifetime> lost = new HashSet<>();
    final Map<BackendServer.Lifetime, String> stagedElsewhere = new HashMap<>();
    Set<String> foreignDomains = Set.of();
    Map<String, Double> demand = Map.of();
    long epochs = 100;
    boolean beforeRequests;
    EngineProfile profile = Engines.PROFILE;

    List<FormationAction> decide(Collection<BackendServer> engines, Moment now) {
        ModelDemand modelDemand =
                demand.isEmpty() ? ModelDemand.expected(profile, engines.size()) : ModelDemand.of(demand);
        return formation.decide(
                new Formation.View(
                        profile,
                        engines,
                        Set.copyOf(lost),
                        d -> !foreignDomains.contains(d.value()),
                        modelDemand,
                        () -> ++epochs,
                        Map.copyOf(stagedElsewhere),
                        PlanPolicy.EVEN,
                        100,
                        beforeRequests),
                now);
    }

    static List<Class<?>> types(List<FormationAction> actions) {
        List<Class<?>> types = new ArrayList<>();
        actions.forEach(a -> types.add(a.getClass()));
        return types;
    }

    static Moment at(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    static List<BackendServer> domain(int size) {
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            engines.add(Engines.free("e" + i, "d1"));
        }
        return engines;
    }

    static List<BackendServer> group(EngineModel model, MemberState head, MemberState others) {
        GroupKey key = model.equals(Engines.SMALL) ? KEY : LARGE_KEY;
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < model.groupSize(); i++) {
            engines.add(Engines.member(Engines.free("e" + i, "d1"), key, i, model, i == 0 ? head : others));
        }
        return engines;
    }
}
