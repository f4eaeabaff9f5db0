package org.baobabspindle.lab;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.Readiness;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;

/** An engine in simulated time that dies, pauses, leaves and comes back. */
final class SimulatedEngine {
    private static final Duration FULL_LOAD = Duration.ofSeconds(60);
    private static final Duration RELOAD = Duration.ofSeconds(12);

    private final String name;
    private final FabricDomain domain;
    private long number = 1;
    private Instant downUntil = Instant.MIN;
    private Instant silentUntil = Instant.MIN;
    private Instant leavesAt = Instant.MAX;
    private Duration absence = Duration.ZERO;
    private Optional<GroupId> group = Optional.empty();
    private boolean holdsWeights;
    private Instant readyAt = Instant.MAX;

    SimulatedEngine(String name, FabricDomain domain) {
        this.name = name;
        this.domain = domain;
    }

    String name() {
        return name;
    }

    private Incarnation id() {
        return Incarnation.of(name, number);
    }

    boolean isUp(Instant now) {
        if (!now.isBefore(leavesAt)) {
            Duration away = absence;
            leavesAt = Instant.MAX;
            die(now, away);
        }
        return !now.isBefore(downUntil);
    }

    boolean isListed(Instant now) {
        return isUp(now);
    }

    PlatformInstance listed() {
        return new PlatformInstance(
                id(),
                domain,
                AvailabilityZone.of("z1"),
                Fleet.REGION,
                "127.0.0.1",
                1,
                !leavesAt.equals(Instant.MAX),
                true,
                4);
    }

    void die(Instant now, Duration away) {
        downUntil = now.plus(away);
        number++;
        group = Optional.empty();
        holdsWeights = false;
        readyAt = Instant.MAX;
        leavesAt = Instant.MAX;
    }

    void pause(Instant now, Duration silence) {
        silentUntil = now.plus(silence);
    }

    void leave(Instant now, Duration notice, Duration away) {
        leavesAt = now.plus(notice);
        absence = away;
    }

    void obey(Instant now, Optional<GroupId> ordered) {
        if (!isUp(now) || now.isBefore(silentUntil)) {
            return;
        }
        group = ordered;
        readyAt = ordered.isEmpty() ? Instant.MAX : now.plus(holdsWeights ? RELOAD : FULL_LOAD);
    }

    Optional<MemberReport> report(Instant now) {
        if (!isUp(now) || now.isBefore(silentUntil)) {
            return Optional.empty();
        }
        boolean ready = !now.isBefore(readyAt);
        holdsWeights |= ready;
        Readiness readiness = group.isEmpty() ? Readiness.IDLE : ready ? Readiness.READY : Readiness.LOADING;
        return Optional.of(new MemberReport(id(), group, readiness, !leavesAt.equals(Instant.MAX), 0, now));
    }

    boolean serves(Instant now, Incarnation member, GroupId wanted) {
        boolean answers = isUp(now) && !now.isBefore(silentUntil);
        return answers && id().equals(member) && group.equals(Optional.of(wanted)) && !now.isBefore(readyAt);
    }
}
