package org.baobabspindle.core.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.freshness.Freshness;
import org.baobabspindle.core.freshness.VersionVector;
import org.baobabspindle.core.group.AssessmentTable;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.Keeper;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.KeeperView;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.ReportTable;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.Verdict;

/** One entry: the decision classes of the core module with the minimal code that drives them. */
final class FakeEntry {
    static final Region REGION = Region.of("r1");
    static final Duration FRESHNESS = Duration.ofSeconds(4);

    private final String name;
    private final Map<Long, KeeperAction.Append> pendingAppends = new HashMap<>();
    private long number;
    private long sequence;
    private boolean paused;
    private boolean disconnectedFromLog;
    private ReplayedState state = new ReplayedState();
    private Freshness freshness;
    private Keeper keeper;
    private ReportTable reports;
    private AssessmentTable assessments;
    private List<KeeperAction> delayedActions = new ArrayList<>();

    FakeEntry(String name) {
        this.name = name;
        restart();
    }

    void restart() {
        number++;
        sequence = 0;
        pendingAppends.clear();
        paused = false;
        state = new ReplayedState();
        freshness = new Freshness(id(), REGION, FRESHNESS);
        keeper = new Keeper(id(), REGION, GroupTimings.DEFAULT);
        reports = new ReportTable();
        assessments = new AssessmentTable();
        delayedActions = new ArrayList<>();
    }

    Incarnation id() {
        return Incarnation.of(name, number);
    }

    EntryDescription description() {
        return new EntryDescription(
                id(), AvailabilityZone.of("z1"), REGION, "http://127.0.0.1:1", "127.0.0.1", 1, false);
    }

    ReplayedState state() {
        return state;
    }

    Freshness freshness() {
        return freshness;
    }

    Keeper keeper() {
        return keeper;
    }

    ReportTable reports() {
        return reports;
    }

    AssessmentTable assessments() {
        return assessments;
    }

    VersionVector vector() {
        return VersionVector.of(state, REGION);
    }

    boolean isPaused() {
        return paused;
    }

    void setDisconnectedFromLog(boolean disconnected) {
        disconnectedFromLog = disconnected;
    }

    boolean canReach(FakeLog log) {
        return !disconnectedFromLog && !log.isDown();
    }

    /** Pauses the process right after it decided, so that it acts on the outdated decision when it resumes. */
    void pause(Instant now, List<PlatformInstance> listed) {
        if (!paused) {
            paused = true;
            delayedActions = decide(now, listed);
        }
    }

    List<KeeperAction> resume() {
        paused = false;
        List<KeeperAction> actions = delayedActions;
        delayedActions = new ArrayList<>();
        return actions;
    }

    KeeperView view(Instant now, List<PlatformInstance> listed) {
        return new KeeperView(state, listed, reports, freshness.isLogReadable(now, state));
    }

    List<KeeperAction> decide(Instant now, List<PlatformInstance> listed) {
        return keeper.decide(now, view(now, listed));
    }

    /**
     * Returns the line of a record. If the response to the append is lost, the line is sent again with the same sequence
     * number.
     */
    String write(LogRecord record) {
        sequence++;
        return LogCodec.write(new LogEnvelope(id(), sequence, record));
    }

    String write(KeeperAction.Append append) {
        String line = write(append.record());
        pendingAppends.put(sequence, append);
        return line;
    }

    /** Replays up to a number of records and reports the outcome of the appends that this entry decided. */
    void read(Instant requestedAt, FakeLog log, int limit) {
        int count = 0;
        while (state.nextOffset().compareTo(log.head()) < 0 && count < limit) {
            LogOffset offset = state.nextOffset();
            String line = log.at(offset);
            Verdict verdict = state.apply(offset, line);
            LogCodec.read(line).ifPresent(e -> reportOutcome(e, verdict, offset));
            count++;
        }
        freshness.logHeadRead(requestedAt, log.head());
    }

    private void reportOutcome(LogEnvelope envelope, Verdict verdict, LogOffset offset) {
        if (!envelope.writer().equals(id()) || verdict.kind() == Verdict.Kind.DUPLICATE) {
            return;
        }
        KeeperAction.Append append = pendingAppends.remove(envelope.sequence());
        if (append != null) {
            keeper.appendCompleted(append, verdict, offset);
        }
    }

    /** Returns the members of the region known to this entry. */
    Set<Incarnation> members() {
        Set<Incarnation> members = new HashSet<>();
        state.membership().of(REGION).entries().forEach(e -> members.add(e.id()));
        return members;
    }
}
