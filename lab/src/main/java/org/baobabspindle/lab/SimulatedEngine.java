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

/** A simulated engine that crashes, pauses, leaves and restarts. */
final class SimulatedEngine {
    private static final Duration LOAD_TIME = Duration.ofSeconds(60);
    private static final Duration RELOAD_TIME = Duration.ofSeconds(12);

    private final String name;
    private final FabricDomain domain;
    private long incarnationNumber = 1;
    private Instant downUntil = Instant.MIN;
    private Instant unresponsiveUntil = Instant.MIN;
    private Instant leavesAt = Instant.MAX;
    private Duration absenceAfterLeaving = Duration.ZERO;
    private Optional<GroupId> group = Optional.empty();
    private boolean weightsLoaded;
    private Instant readyAt = Instant.MAX;

    SimulatedEngine(String name, FabricDomain domain) {
        this.name = name;
        this.domain = domain;
    }

    String name() {
        return name;
    }

    private Incarnation id() {
        return Incarnation.of(name, incarnationNumber);
    }

    boolean isUp(Instant now) {
        if (!now.isBefore(leavesAt)) {
            Duration downtime = absenceAfterLeaving;
            leavesAt = Instant.MAX;
            crash(now, downtime);
        }
        return !now.isBefore(downUntil);
    }

    boolean isListed(Instant now) {
        return isUp(now);
    }

    PlatformInstance toPlatformInstance() {
        return new PlatformInstance(
                id(),
                domain,
                AvailabilityZone.of("z1"),
                FleetBuilder.REGION,
                "127.0.0.1",
                1,
                !leavesAt.equals(Instant.MAX),
                true,
                4);
    }

    /** Stops the engine, which loses group and weights and restarts as a new incarnation after the downtime. */
    void crash(Instant now, Duration downtime) {
        downUntil = now.plus(downtime);
        incarnationNumber++;
        group = Optional.empty();
        weightsLoaded = false;
        readyAt = Instant.MAX;
        leavesAt = Instant.MAX;
    }

    /** Makes the engine unresponsive: it neither reports nor applies orders, but keeps its group and weights. */
    void pause(Instant now, Duration duration) {
        unresponsiveUntil = now.plus(duration);
    }

    /** Announces a planned leave: the engine stops after the notice period and restarts after the downtime. */
    void leave(Instant now, Duration notice, Duration downtime) {
        leavesAt = now.plus(notice);
        absenceAfterLeaving = downtime;
    }

    /** Joins the ordered group, or leaves the current one if empty; ignored while down or unresponsive. */
    void applyOrder(Instant now, Optional<GroupId> ordered) {
        if (!isUp(now) || now.isBefore(unresponsiveUntil)) {
            return;
        }
        group = ordered;
        readyAt = ordered.isEmpty() ? Instant.MAX : now.plus(weightsLoaded ? RELOAD_TIME : LOAD_TIME);
    }

    /** Returns the engine's report, or empty while it is down or unresponsive. */
    Optional<MemberReport> report(Instant now) {
        if (!isUp(now) || now.isBefore(unresponsiveUntil)) {
            return Optional.empty();
        }
        boolean ready = !now.isBefore(readyAt);
        weightsLoaded |= ready;
        Readiness readiness = group.isEmpty() ? Readiness.IDLE : ready ? Readiness.READY : Readiness.LOADING;
        return Optional.of(new MemberReport(id(), group, readiness, !leavesAt.equals(Instant.MAX), 0, now));
    }

    boolean serves(Instant now, Incarnation member, GroupId expectedGroup) {
        boolean responsive = isUp(now) && !now.isBefore(unresponsiveUntil);
        return responsive && id().equals(member) && group.equals(Optional.of(expectedGroup)) && !now.isBefore(readyAt);
    }
}
