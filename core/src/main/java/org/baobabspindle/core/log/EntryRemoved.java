package org.baobabspindle.core.log;

import java.util.Set;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * Proposes to remove an entry from the members of its region.
 *
 * @param region the region
 * @param entry the incarnation to remove
 * @param base the membership version of the region that the change is based on
 * @param evidence the members known to have replayed that version
 * @param forced whether an operator confirmed that the instances are gone; base and evidence are not checked then
 */
public record EntryRemoved(Region region, Incarnation entry, long base, Set<Incarnation> evidence, boolean forced)
        implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.membership().remove(this);
    }
}
