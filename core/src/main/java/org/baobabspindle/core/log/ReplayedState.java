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
 * The state that follows from the log. It is a deterministic function of the records in their order: every entry that
 * has replayed the same records has the same state. Not safe for use by several threads.
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

    /** Creates the state before the first record. */
    public ReplayedState() {}

    /**
     * Replays one record.
     *
     * @param offset the offset of the record; it must be the next one
     * @param line the record in its JSON form
     * @return the verdict on the record
     */
    public Verdict apply(LogOffset offset, String line) {
        if (!offset.equals(nextOffset)) {
            throw new IllegalStateException("expected offset " + nextOffset + " but was given " + offset);
        }
        nextOffset = nextOffset.next();
        Optional<LogEnvelope> read = LogCodec.read(line);
        if (read.isEmpty()) {
            return Verdict.refused("unreadable record");
        }
        LogEnvelope envelope = read.get();
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
     * Returns what the latest snapshot covers.
     *
     * @return the offset before which the latest snapshot holds all records
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
     * Returns the configuration with its number.
     *
     * @return the live part of this state
     */
    public ConfigurationState configurationState() {
        return configuration;
    }

    /**
     * Returns the entries of each region.
     *
     * @return the live part of this state
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the claims and groups.
     *
     * @return the live part of this state
     */
    public GroupState groupState() {
        return groups;
    }

    /**
     * Returns the intents.
     *
     * @return the live part of this state
     */
    public Intents intents() {
        return intents;
    }

    /**
     * Returns the crashes.
     *
     * @return the live part of this state
     */
    public CrashHistory crashHistory() {
        return crashHistory;
    }

    /**
     * Returns the sequence of the last record replayed of a writer.
     *
     * @param writer the writer
     * @return the sequence, 0 if there was none
     */
    public long lastSequence(Incarnation writer) {
        return lastSequences.getOrDefault(writer, 0L);
    }

    /**
     * Returns the whole state in its JSON form. Equal states have equal forms.
     *
     * @return the JSON form
     */
    public JsonNode snapshot() {
        ObjectMapper m = LogCodec.mapper();
        var sequences = new ArrayList<StateDocument.WriterSequence>();
        lastSequences.forEach((w, s) -> sequences.add(new StateDocument.WriterSequence(w, s)));
        var regions = membership.regions().stream()
                .map(r -> new StateDocument.RegionDocument(r, membership.of(r)))
                .toList();
        var crashes = crashHistory.all().entrySet().stream()
                .map(e -> new StateDocument.CrashDocument(e.getKey(), new ArrayList<>(e.getValue())))
                .toList();
        return m.valueToTree(new StateDocument(
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
     * Rebuilds a state from its JSON form.
     *
     * @param document the JSON form
     * @return the state
     * @throws IOException if the document is not the form of a state
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
