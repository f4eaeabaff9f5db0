package org.baobabspindle.gateway;

import org.baobabspindle.core.time.Moment;

/** A link to backend servers whose state is set by a test. */
final class SwitchedLink implements BackendLink {
    private volatile boolean partitioned;

    /** Makes the entry take itself for partitioned, with all connections to backend servers silent. */
    void cut() {
        partitioned = true;
    }

    @Override
    public boolean isPartitioned() {
        return partitioned;
    }

    @Override
    public boolean heardSince(Moment since) {
        return !partitioned;
    }

    EntryRelay.Surroundings replaceIn(EntryRelay.Surroundings s) {
        return new EntryRelay.Surroundings(this, s.peers());
    }
}
