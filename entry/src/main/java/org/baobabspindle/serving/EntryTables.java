package org.baobabspindle.serving;

import java.time.InstantSource;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;

/**
 * The tables that the threads of an entry share. Their locks are acquired in the order of the components.
 *
 * @param self this entry
 * @param clock the time source of the entry
 * @param log the replayed log and its freshness
 * @param groups the state of engines, groups and plain services
 * @param keys the idempotency keys
 * @param loads the outstanding requests and rate limit tokens of this entry
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
