package org.baobabspindle.core.log;

import java.util.Set;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * An entry that is no longer counted among the entries of its region.
 *
 * @param region the region
 * @param entry the incarnation that is gone
 * @param base the membership version of the region that the writer saw
 * @param evidence the members that had replayed that version
 * @param forced whether an operator vouched for the instances that are gone, which replaces the evidence
 */
public record EntryRemoved(Region region, Incarnation entry, long base, Set<Incarnation> evidence, boolean forced)
        implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.membership().remove(this);
    }
}
