package org.baobabspindle.core.log;

import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.LogOffset;

/**
 * Claims a fabric domain, to form, repair and dissolve its groups.
 *
 * @param domain the fabric domain
 * @param previousEpoch the epoch of the claim that this one replaces, 0 if none
 */
public record KeeperClaimed(FabricDomain domain, LogOffset previousEpoch) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().claim(domain, previousEpoch, position);
    }
}
