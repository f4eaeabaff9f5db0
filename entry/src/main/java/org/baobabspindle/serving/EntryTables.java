package org.baobabspindle.serving;

import java.time.InstantSource;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;

/**
 * The tables that the workers of an entry share. Locks are taken in the order of the fields.
 *
 * @param self this entry
 * @param clock the present time
 * @param log what is known from the log
 * @param groups engines, groups and plain services
 * @param keys idempotency keys
 * @param loads what is under way
 */
public record EntryTables(
        EntryDescription self,
        InstantSource clock,
        Guarded<LogView> log,
        Guarded<GroupTables> groups,
        Guarded<IdempotencyKeys> keys,
        Guarded<LocalLoadTable> loads) {
    /**
     * Returns the incarnation of this entry.
     *
     * @return the incarnation
     */
    public Incarnation id() {
        return self.id();
    }
}
