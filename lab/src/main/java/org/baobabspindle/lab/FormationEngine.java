package org.baobabspindle.lab;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/** A simulated engine that joins, opens, closes, leaves and stages on order, in the times that its profile states. */
final class FormationEngine {
    /** The duration of a join when the engine's last group had the same model. */
    private static final Duration REJOIN_TIME = Duration.ofMillis(200);

    /** The time that a closing head takes to finish its requests. */
    private static final Duration CLOSING_TIME = Duration.ofMillis(800);

    private final FabricDomain domain;
    private final int index;
    private final int slots;
    private int restarts;
    private Optional<String> model = Optional.empty();
    private Optional<String> staged = Optional.empty();
    private Optional<GroupMembership> group = Optional.empty();
    private Optional<String> staging = Optional.empty();
    private Moment stagingEndsAt;
    private Moment transitionAt;
    private MemberState nextState;
    private Optional<Moment> downUntil = Optional.empty();

    FormationEngine(FabricDomain domain, int index, int slots) {
        this.domain = domain;
        this.index = index;
        this.slots = slots;
    }

    FabricDomain domain() {
        return domain;
    }

    boolean isUp() {
        return downUntil.isEmpty();
    }

    Optional<GroupMembership> group() {
        return group;
    }

    boolean staging() {
        return staging.isPresent();
    }

    /** Fails the engine until the given time, when a new one replaces it that keeps the weights staged on the host. */
    void fail(Moment until) {
        downUntil = Optional.of(until);
        model = Optional.empty();
        group = Optional.empty();
        staging = Optional.empty();
    }

    /** Applies the transitions that are due; returns whether the engine has restarted. */
    boolean advance(Moment now) {
        if (downUntil.isPresent()) {
            if (now.isBefore(downUntil.get())) {
                return false;
            }
            downUntil = Optional.empty();
            restarts++;
            return true;
        }
        if (staging.isPresent() && !now.isBefore(stagingEndsAt)) {
            staged = staging;
            staging = Optional.empty();
        }
        if (group.isPresent() && nextState != null && !now.isBefore(transitionAt)) {
            group = Optional.of(
                    new GroupMembership(group.get().key(), group.get().rank(), nextState));
            nextState = null;
        }
        return false;
    }

    /** Starts to join a group; returns whether the engine has to load weights for it. */
    boolean join(GroupKey key, int rank, EngineModel m, double loadFactor, Moment now) {
        boolean warm = staged.equals(Optional.of(m.name()));
        boolean load = !model.equals(Optional.of(m.name())) && !warm;
        Duration time = load
                ? Duration.ofMillis((long) (m.loadTime().toMillis() * loadFactor))
                : warm && !model.equals(Optional.of(m.name())) ? m.warmJoinTime() : REJOIN_TIME;
        model = Optional.of(m.name());
        staged = load ? model : staged;
        group = Optional.of(new GroupMembership(key, rank, MemberState.JOINING));
        scheduleTransition(MemberState.READY, now.plus(time));
        return load;
    }

    void open(Duration headOpenTime, Moment now) {
        scheduleTransition(MemberState.OPEN, now.plus(headOpenTime));
    }

    void close(Moment now) {
        group = group.map(g -> new GroupMembership(g.key(), g.rank(), MemberState.CLOSING));
        scheduleTransition(MemberState.READY, now.plus(CLOSING_TIME));
    }

    void leave() {
        group = Optional.empty();
        nextState = null;
    }

    void stage(EngineModel m, double loadFactor, Moment now) {
        staging = Optional.of(m.name());
        stagingEndsAt = now.plus(Duration.ofMillis((long) (m.loadTime().toMillis() * loadFactor)));
    }

    private void scheduleTransition(MemberState to, Moment at) {
        nextState = to;
        transitionAt = at;
    }

    /** Returns the engine as the instance list shows it. */
    BackendServer toBackendServer() {
        return new BackendServer(
                InstanceId.of("e" + index + "-" + restarts),
                "pool",
                "10.0.0.1",
                8080,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                slots,
                1 + restarts,
                Optional.of(domain),
                model,
                staged,
                group);
    }
}
