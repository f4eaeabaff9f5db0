package org.baobabspindle.core.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.Readiness;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.FencingNumber;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/** An engine that records when it held which group ready, for checks by {@link InvariantChecker}. */
final class FakeEngine {
    private static final Duration LOAD_TIME = Duration.ofMillis(700);

    private final String name;
    private final FabricDomain domain;
    private final boolean checksFencing;
    private final List<ReadyPeriod> history = new ArrayList<>();
    private long number = 1;
    private boolean running = true;
    private Optional<GroupId> group = Optional.empty();
    private Instant readyAt = Instant.MAX;
    private Optional<FencingNumber> highestFencing = Optional.empty();

    FakeEngine(String name, FabricDomain domain, boolean checksFencing) {
        this.name = name;
        this.domain = domain;
        this.checksFencing = checksFencing;
    }

    /** A period in which one incarnation of the engine held a group ready. */
    private static final class ReadyPeriod {
        private final Incarnation id;
        private final GroupId group;
        private final Instant from;
        private Instant until = Instant.MAX;

        ReadyPeriod(Incarnation id, GroupId group, Instant from) {
            this.id = id;
            this.group = group;
            this.from = from;
        }
    }

    Incarnation id() {
        return Incarnation.of(name, number);
    }

    FabricDomain domain() {
        return domain;
    }

    boolean isRunning() {
        return running;
    }

    PlatformInstance toPlatformInstance() {
        return new PlatformInstance(
                id(), domain, AvailabilityZone.of("z1"), Region.of("r1"), "127.0.0.1", 1, false, checksFencing, 4);
    }

    void kill(Instant now) {
        release(now);
        running = false;
    }

    void restart(Instant now) {
        kill(now);
        running = true;
        number++;
        highestFencing = Optional.empty();
    }

    /** Applies an order. As over a network, it reaches the incarnation that currently listens at the address. */
    void receiveOrder(Instant now, KeeperAction.Order order) {
        boolean outdated =
                highestFencing.map(h -> order.fencing().compareTo(h) <= 0).orElse(false);
        if (!running || (checksFencing && outdated)) {
            return;
        }
        highestFencing = Optional.of(order.fencing());
        release(now);
        group = Optional.ofNullable(order.group());
        readyAt = now.plus(LOAD_TIME);
        group.ifPresent(g -> history.add(new ReadyPeriod(id(), g, readyAt)));
    }

    private void release(Instant now) {
        if (!history.isEmpty() && history.get(history.size() - 1).until.equals(Instant.MAX)) {
            history.get(history.size() - 1).until = now;
        }
        group = Optional.empty();
        readyAt = Instant.MAX;
    }

    MemberReport report(Instant now, Instant askedAt) {
        Readiness readiness = group.isEmpty() ? Readiness.IDLE : loadProgress(now);
        return new MemberReport(id(), group, readiness, false, 0, askedAt);
    }

    private Readiness loadProgress(Instant now) {
        return now.isBefore(readyAt) ? Readiness.LOADING : Readiness.READY;
    }

    /** Returns whether an incarnation of this engine held a group ready at some moment between two times. */
    boolean wasReady(Incarnation member, GroupId requestedGroup, Instant from, Instant to) {
        return history.stream()
                .anyMatch(h -> h.id.equals(member)
                        && h.group.equals(requestedGroup)
                        && !h.from.isAfter(to)
                        && h.until.isAfter(from)
                        && h.from.isBefore(h.until));
    }
}
