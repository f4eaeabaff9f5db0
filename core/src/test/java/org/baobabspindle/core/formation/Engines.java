package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;

/** Engines and profiles for tests. */
public final class Engines {
    public static final EngineModel LARGE =
            new EngineModel("large", 4, 1.0, 0.5, Duration.ofSeconds(16), Duration.ofMillis(1_600));
    public static final EngineModel SMALL =
            new EngineModel("small", 2, 0.6, 0.5, Duration.ofSeconds(12), Duration.ofMillis(1_100));
    public static final EngineProfile PROFILE =
            new EngineProfile(12, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(LARGE, SMALL));

    private Engines() {}

    public static BackendServer free(String id, String domain) {
        return new BackendServer(
                InstanceId.of(id),
                "pool",
                "10.0.0.1",
                8080,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                12,
                1,
                Optional.of(FabricDomain.of(domain)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    public static BackendServer member(BackendServer s, GroupKey key, int rank, EngineModel model, MemberState state) {
        Optional<String> other = Optional.of(model.equals(LARGE) ? SMALL.name() : LARGE.name());
        return copy(s, s.state(), Optional.of(model.name()), other, Optional.of(new GroupMembership(key, rank, state)));
    }

    /** Returns a copy of an engine whose host has a model staged and that has been in no group since its start. */
    public static BackendServer withOnlyStaged(BackendServer s, EngineModel model) {
        return withStaged(s.withModel(Optional.empty()), model);
    }

    /** Returns a copy of an engine whose host has a model staged; its last model stays. */
    public static BackendServer withStaged(BackendServer s, EngineModel model) {
        return copy(s, s.state(), s.model(), Optional.of(model.name()), s.group());
    }

    public static BackendServer draining(BackendServer s) {
        return copy(s, ServerState.DRAINING, s.model(), s.staged(), s.group());
    }

    public static BackendServer inZone(BackendServer s, String zone) {
        return copy(s, s.id(), AvailabilityZone.of(zone));
    }

    /** Returns a copy of the record of an engine under another name. */
    public static BackendServer withId(BackendServer s, String id) {
        return copy(s, InstanceId.of(id), s.zone());
    }

    private static BackendServer copy(BackendServer s, InstanceId id, AvailabilityZone zone) {
        return new BackendServer(
                id,
                s.service(),
                s.host(),
                s.port(),
                zone,
                s.state(),
                s.slots(),
                s.bornMillis(),
                s.domain(),
                s.model(),
                s.staged(),
                s.group());
    }

    private static BackendServer copy(
            BackendServer s,
            ServerState state,
            Optional<String> model,
            Optional<String> staged,
            Optional<GroupMembership> group) {
        return new BackendServer(
                s.id(),
                s.service(),
                s.host(),
                s.port(),
                s.zone(),
                state,
                s.slots(),
                s.bornMillis(),
                s.domain(),
                model,
                staged,
                group);
    }
}
