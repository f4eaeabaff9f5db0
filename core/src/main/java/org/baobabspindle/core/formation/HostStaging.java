package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;

/** Decides which hosts stage weights, and remembers which of them are at it: an engine does not report that. */
final class HostStaging {
    /** Loads that staging leaves for groups; the members of the largest one. */
    private static final int LOADS_KEPT_FOR_GROUPS = 4;

    /** The engines that may be joining while serving hosts stage; the members of one small group. */
    private static final int MOST_JOINING_BESIDE_STAGING = 2;

    /** Loads share the weight store; one that takes this many times its usual time has failed. */
    private static final int PATIENCE = 3;

    /** How long a host that stages is taken to need the weight store; a load of the larger models. */
    private static final Duration STAGING_TIME = Duration.ofSeconds(16);

    /** Staging concerns a host and no group; its order names none. */
    private static final GroupKey NO_GROUP = new GroupKey("none", 0);

    /** Stands for a model that another keeper has chosen. */
    private static final String UNKNOWN_MODEL = "";

    private final Map<BackendServer.Lifetime, UnderWay> underWay = new HashMap<>();

    private record UnderWay(String model, Moment since, Moment until) {
        static UnderWay of(EngineModel model, Moment now) {
            return new UnderWay(model.name(), now, now.plus(model.loadTime().multipliedBy(PATIENCE)));
        }
    }

    /** Forgets engines that are not listed any more. */
    void retain(Set<BackendServer.Lifetime> present) {
        underWay.keySet().retainAll(present);
    }

    /** Forgets that a host stages, because it did not begin to. */
    void forget(BackendServer.Lifetime engine) {
        underWay.remove(engine);
    }

    /** Leaves a host that refused to stage alone for a while. */
    void refused(BackendServer.Lifetime engine, Moment until) {
        underWay.put(engine, new UnderWay(UNKNOWN_MODEL, until.minus(STAGING_TIME), until));
    }

    /** Notes that a host stages what another keeper has ordered. */
    void unknownUnderWay(BackendServer.Lifetime engine, Moment now) {
        underWay.put(engine, new UnderWay(UNKNOWN_MODEL, now, now.plus(STAGING_TIME)));
    }

    /** Has free engines stage what their domain lacks for a group; at most as many as loads may begin. */
    List<FormationAction> ofFreeEngines(
            Formation.View view,
            Collection<List<BackendServer>> freeByDomain,
            Map<String, Integer> groups,
            int loads,
            Moment now) {
        List<FormationAction> actions = new ArrayList<>();
        for (List<BackendServer> free : freeByDomain) {
            for (StagingPlanner.Stage s :
                    StagingPlanner.plan(view.profile(), free, groups, view.demand(), id -> stagingNow(id, now))) {
                if (actions.size() < loads) {
                    underWay.put(s.server().lifetime(), UnderWay.of(s.model(), now));
                    actions.add(new FormationAction.Stage(
                            s.server(), NO_GROUP, s.model().name(), "its domain lacks the model"));
                }
            }
        }
        return actions;
    }

    /**
     * Has hosts of serving groups stage a model that they do not hold, so that the engines that a lost member leaves behind
     * can join a group of either model within seconds.
     */
    List<FormationAction> ofServingHosts(Formation.View view, Set<BackendServer> bound, int loads, Moment now) {
        int most = view.beforeRequests() ? loads : spareLoads(view, loads, now);
        List<FormationAction> actions = new ArrayList<>();
        for (BackendServer s : bound) {
            if (actions.size() >= most) {
                break;
            }
            Optional<EngineModel> model = settled(view, s) ? otherModel(view.profile(), s) : Optional.empty();
            if (model.isPresent() && stagingNow(s.lifetime(), now).isEmpty()) {
                underWay.put(s.lifetime(), UnderWay.of(model.get(), now));
                actions.add(
                        new FormationAction.Stage(s, NO_GROUP, model.get().name(), "the host holds no other model"));
            }
        }
        return actions;
    }

    private static boolean settled(Formation.View view, BackendServer s) {
        boolean joined = s.group().filter(m -> m.state() != MemberState.JOINING).isPresent();
        return view.owns(s) && view.sound(s) && joined && s.model().isPresent();
    }

    /** Staging takes bandwidth of the weight store from engines without weights, so it waits until there are none. */
    private int spareLoads(Formation.View view, int loads, Moment now) {
        long joining = view.engines().stream()
                .filter(s ->
                        s.group().filter(m -> m.state() == MemberState.JOINING).isPresent())
                .count();
        boolean stages =
                underWay.values().stream().anyMatch(u -> now.isBefore(u.since().plus(STAGING_TIME)));
        boolean emptyOnes = view.engines().stream()
                .anyMatch(s -> s.model().isEmpty() && s.staged().isEmpty());
        if (emptyOnes || stages || joining > MOST_JOINING_BESIDE_STAGING) {
            return 0;
        }
        return Math.min(1, loads - LOADS_KEPT_FOR_GROUPS);
    }

    /** Returns a model to stage: any that the engine does not hold, unless its host holds such a one already. */
    private static Optional<EngineModel> otherModel(EngineProfile profile, BackendServer s) {
        if (s.staged().isPresent() && !s.staged().equals(s.model())) {
            return Optional.empty();
        }
        return profile.models().stream()
                .filter(m -> !s.model().equals(Optional.of(m.name())))
                .findFirst();
    }

    private Optional<String> stagingNow(BackendServer.Lifetime engine, Moment now) {
        UnderWay u = underWay.get(engine);
        return u != null && now.isBefore(u.until()) ? Optional.of(u.model()) : Optional.empty();
    }
}
