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

/** One simulated engine: it joins, opens, closes, leaves and stages as ordered, in the times that its profile states. */
final class FormationEngine {
    /** A join by an engine whose last group had the same model. */
    private static final Duration REJOIN = Duration.ofMillis(200);

    /** The time in which a head that closes finishes its requests. */
    private static final Duration CLOSING_TIME = Duration.ofMillis(800);

    private final FabricDomain domain;
    private final int number;
    private final int slots;
    private int life;
    private Optional<String> model = Optional.empty();
    private Optional<String> staged = Optional.empty();
    private Optional<GroupMembership> group = Optional.empty();
    private Optional<String> staging = Optional.empty();
    private Moment stagedAt;
    private Moment changesAt;
    private MemberState next;
    private Optional<Moment> downUntil = Optional.empty();

    FormationEngine(FabricDomain domain, int number, int slots) {
        this.domain = domain;
        this.number = number;
        this.slots = slots;
    }

    FabricDomain domain() {
        return domain;
    }

    boolean up() {
        return downUntil.isEmpty();
    }

    Optional<GroupMembership> group() {
        return group;
    }

    boolean staging() {
        return staging.isPresent();
    }

    /** Ends the engine; a new one takes its place later, whose host holds what this one's did. */
    void lose(Moment until) {
        downUntil = Optional.of(until);
        model = Optional.empty();
        group = Optional.empty();
        staging = Optional.empty();
    }

    /** Brings the engine up to date; returns whether it has come back. */
    boolean advance(Moment now) {
        if (downUntil.isPresent()) {
            if (now.isBefore(downUntil.get())) {
                return false;
            }
            downUntil = Optional.empty();
            life++;
            return true;
        }
        if (staging.isPresent() && !now.isBefore(stagedAt)) {
            staged = staging;
            staging = Optional.empty();
        }
        if (group.isPresent() && next != null && !now.isBefore(changesAt)) {
            group = Optional.of(
                    new GroupMembership(group.get().key(), group.get().rank(), next));
            next = null;
        }
        return false;
    }

    /** Joins a group; returns whether it loads weights for that. */
    boolean join(GroupKey key, int rank, EngineModel m, double loadFactor, Moment now) {
        boolean warm = staged.equals(Optional.of(m.name()));
        boolean load = !model.equals(Optional.of(m.name())) && !warm;
        Duration time = load
                ? Duration.ofMillis((long) (m.loadTime().toMillis() * loadFactor))
                : warm && !model.equals(Optional.of(m.name())) ? m.warmJoinTime() : REJOIN;
        model = Optional.of(m.name());
        staged = load ? model : staged;
        group = Optional.of(new GroupMembership(key, rank, MemberState.JOINING));
        change(MemberState.READY, now.plus(time));
        return load;
    }

    void open(Duration formTime, Moment now) {
        change(MemberState.OPEN, now.plus(formTime));
    }

    void close(Moment now) {
        group = group.map(g -> new GroupMembership(g.key(), g.rank(), MemberState.CLOSING));
        change(MemberState.READY, now.plus(CLOSING_TIME));
    }

    void leave() {
        group = Optional.empty();
        next = null;
    }

    void stage(EngineModel m, double loadFactor, Moment now) {
        staging = Optional.of(m.name());
        stagedAt = now.plus(Duration.ofMillis((long) (m.loadTime().toMillis() * loadFactor)));
    }

    private void change(MemberState to, Moment at) {
        next = to;
        changesAt = at;
    }

    /** Returns what the list shows of the engine. */
    BackendServer listed() {
        return new BackendServer(
                InstanceId.of("e" + number + "-" + life),
                "pool",
                "10.0.0.1",
                8080,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                slots,
                1 + life,
                Optional.of(domain),
                model,
                staged,
                group);
    }
}
