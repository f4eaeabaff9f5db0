package org.baobabspindle.core.log;

import java.util.Set;
import org.baobabspindle.core.id.Incarnation;

/**
 * An entry that asks to be counted among the entries of its region.
 *
 * @param entry the entry
 * @param base the membership version of the region that the entry saw
 * @param evidence the members that had replayed that version
 */
public record EntryJoined(EntryDescription entry, long base, Set<Incarnation> evidence) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.membership().join(entry, base, evidence);
    }
}
