package org.baobabspindle.core.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;

/**
 * The state computed by replaying the log. It is a deterministic function of the sequence of records: all entries that
 * have replayed the same records have the same state. Not thread-safe.
 */
public final class ReplayedState {
    private final ConfigurationState configuration = new ConfigurationState();
    private final Membership membership = new Membership();
    private final GroupState groups = new GroupState();
    private final Intents intents = new Intents();
    private final CrashHistory crashHistory = new CrashHistory();
    private final TreeMap<Incarnation, Long> lastSequences = new TreeMap<>();
    private LogOffset nextOffset = LogOffset.of(0);
    private LogOffset lastSnapshot = LogOffset.of(0);

    /** Creates the initial state, before the first record. */
    public ReplayedState() {}

    /**
     * Replays one record.
     *
     * @param offset the offset of the record; it must be the next one
     * @param line the record as JSON
     * @return the verdict on the record
     * @throws IllegalStateException if the offset is not the next one
     */
    public Verdict apply(LogOffset offset, String line) {
        if (!offset.equals(nextOffset)) {
            throw new IllegalStateException("expected offset " + nextOffset + " but got " + offset);
        }
        nextOffset = nextOffset.next();
        Optional<LogEnvelope> parsed = LogCodec.read(line);
        if (parsed.isEmpty()) {
            return Verdict.refused("unreadable record");
        }
        LogEnvelope envelope = parsed.get();
        if (envelope.sequence() <= lastSequences.getOrDefault(envelope.writer(), 0L)) {
            return Verdict.DUPLICATE;
        }
        lastSequences.put(envelope.writer(), envelope.sequence());
        return envelope.body().applyTo(this, new RecordPosition(envelope.writer(), offset));
    }

    /**
     * Returns the offset of the first record that has not been replayed.
     *
     * @return the next offset
     */
    public LogOffset nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the offset up to which the latest snapshot covers the log.
     *
     * @return the offset; the snapshot covers all records before it; 0 if there is no snapshot
     */
    public LogOffset lastSnapshot() {
        return lastSnapshot;
    }

    Verdict snapshotTaken(LogOffset covers) {
        lastSnapshot = covers.compareTo(lastSnapshot) > 0 ? covers : lastSnapshot;
        return Verdict.ACCEPTED;
    }

    /**
     * Returns the configuration of the current version.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration.configuration();
    }

    /**
     * Returns the configuration with its version.
     *
     * @return the live object, which changes with replay
     */
    public ConfigurationState configurationState() {
        return configuration;
    }

    /**
     * Returns the entries of each region.
     *
     * @return the live object, which changes with replay
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the claims and groups.
     *
     * @return the live object, which changes with replay
     */
    public GroupState groupState() {
        return groups;
    }

    /**
     * Returns the intents.
     *
     * @return the live object, which changes with replay
     */
    public Intents intents() {
        return intents;
    }

    /**
     * Returns the groups that crashed with each request in flight.
     *
     * @return the live object, which changes with replay
     */
    public CrashHistory crashHistory() {
        return crashHistory;
    }

    /**
     * Returns the sequence number of the last replayed record of a writer.
     *
     * @param writer the writer
     * @return the sequence number, 0 if no record of the writer was replayed
     */
    public long lastSequence(Incarnation writer) {
        return lastSequences.getOrDefault(writer, 0L);
    }

    /**
     * Returns a snapshot of the whole state. Equal states have equal snapshots.
     *
     * @return the state as JSON
     */
    public JsonNode snapshot() {
        ObjectMapper mapper = LogCodec.mapper();
        var sequences = new ArrayList<StateDocument.WriterSequence>();
        lastSequences.forEach((w, s) -> sequences.add(new StateDocument.WriterSequence(w, s)));
        var regions = membership.regions().stream()
                .map(r -> new StateDocument.RegionDocument(r, membership.of(r)))
                .toList();
        var crashes = crashHistory.all().entrySet().stream()
                .map(e -> new StateDocument.CrashDocument(e.getKey(), new ArrayList<>(e.getValue())))
                .toList();
        return mapper.valueToTree(new StateDocument(
                nextOffset,
                lastSnapshot,
                configuration.configuration(),
                configuration.version(),
                regions,
                new ArrayList<>(groups.claims()),
                new ArrayList<>(groups.groups()),
                new ArrayList<>(intents.all()),
                crashes,
                sequences));
    }

    /**
     * Restores a state from a snapshot.
     *
     * @param document the snapshot, as returned by {@link #snapshot}
     * @return the state
     * @throws IOException if the document is not a valid snapshot
     */
    public static ReplayedState restore(JsonNode document) throws IOException {
        StateDocument d = LogCodec.mapper().treeToValue(document, StateDocument.class);
        ReplayedState state = new ReplayedState();
        state.nextOffset = d.next();
        state.lastSnapshot = d.lastSnapshot();
        state.configuration.restore(d.configuration(), d.version());
        d.regions().forEach(r -> state.membership.restore(r.region(), r.members()));
        d.claims().forEach(state.groups::restore);
        d.groups().forEach(state.groups::restore);
        d.intents().forEach(state.intents::restore);
        d.crashes().forEach(c -> c.groups().forEach(g -> state.crashHistory.recordCrash(c.fingerprint(), g)));
        for (StateDocument.WriterSequence s : d.sequences()) {
            state.lastSequences.put(s.writer(), s.sequence());
        }
        return state;
    }
}
