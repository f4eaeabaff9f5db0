package org.baobabspindle.core.log;

import java.util.Set;
import org.baobabspindle.core.id.Incarnation;

/**
 * Proposes to add an entry to the members of its region.
 *
 * @param entry the entry
 * @param base the membership version of the region that the change is based on
 * @param evidence the members known to have replayed that version
 */
public record EntryJoined(EntryDescription entry, long base, Set<Incarnation> evidence) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.membership().join(entry, base, evidence);
    }
}
