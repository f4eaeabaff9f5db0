package org.baobabspindle.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.Readiness;
import org.baobabspindle.core.group.ReportTable;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.ConfigurationPatched;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.EntryJoined;
import org.baobabspindle.core.log.GroupFormed;
import org.baobabspindle.core.log.KeeperClaimed;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.Verdict;

/** Builds a replayed state of a given size by applying the log records that lead to it. */
final class FleetBuilder {
    static final Region REGION = Region.of("r1");
    static final Incarnation SELF = Incarnation.of("e0", 1);
    static final ModelVersion MODEL = ModelVersion.parse("m@1");
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ReplayedState state = new ReplayedState();
    private final List<PlatformInstance> engines = new ArrayList<>();
    private final ReportTable reports = new ReportTable();
    private long sequence;

    ReplayedState state() {
        return state;
    }

    List<PlatformInstance> engines() {
        return engines;
    }

    ReportTable reports() {
        return reports;
    }

    /** Applies a record to the state as the next one in the log. */
    Verdict appendRecord(LogRecord record) {
        sequence++;
        return state.apply(state.nextOffset(), LogCodec.write(new LogEnvelope(SELF, sequence, record)));
    }

    static EntryDescription entry(Incarnation id) {
        return new EntryDescription(
                id, AvailabilityZone.of("z1"), REGION, "http://127.0.0.1:8080", "127.0.0.1", 9090, false);
    }

    /** Joins the given number of entries, each with evidence from all that joined before it. */
    FleetBuilder withEntries(int count) {
        List<Incarnation> joined = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Incarnation id = Incarnation.of("e" + i, 1);
            requireAccepted(appendRecord(new EntryJoined(entry(id), i, Set.copyOf(joined))));
            joined.add(id);
        }
        return this;
    }

    /** Forms groups of the given size, each in its own fabric domain, with all members ready. */
    FleetBuilder withGroups(int groups, int size) {
        ObjectNode patch = LogCodec.mapper().createObjectNode();
        patch.putObject("models")
                .putObject(MODEL.toString())
                .put("instancesPerGroup", size)
                .put("groups", groups);
        requireAccepted(appendRecord(new ConfigurationPatched(ConfigurationVersion.of(0), patch)));
        for (int g = 0; g < groups; g++) {
            FabricDomain domain = FabricDomain.of("d" + g);
            LogOffset epoch = state.nextOffset();
            requireAccepted(appendRecord(new KeeperClaimed(domain, LogOffset.of(0))));
            List<Incarnation> members = new ArrayList<>();
            for (int m = 0; m < size; m++) {
                members.add(Incarnation.of("x" + g + "-" + m, 1));
            }
            GroupId id = GroupId.of(state.nextOffset().value());
            requireAccepted(appendRecord(new GroupFormed(domain, epoch, MODEL, members)));
            members.forEach(m -> addEngine(m, domain, id));
        }
        return this;
    }

    private void addEngine(Incarnation id, FabricDomain domain, GroupId group) {
        engines.add(
                new PlatformInstance(id, domain, AvailabilityZone.of("z1"), REGION, "127.0.0.1", 1, false, true, 4));
        reports.add(new MemberReport(id, Optional.of(group), Readiness.READY, false, 3, START));
    }

    private static void requireAccepted(Verdict verdict) {
        if (!verdict.isAccepted()) {
            throw new IllegalStateException(verdict.toString());
        }
    }
}
