package org.baobabspindle.gateway;

import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.core.time.Moment;

/** A link to backend servers whose state is set by a test. */
final class SwitchedLink implements BackendLink {
    private final AtomicInteger queries = new AtomicInteger();
    private volatile boolean partitioned;

    /** Makes the entry take itself for partitioned, with all connections to backend servers silent. */
    void cut() {
        partitioned = true;
    }

    void heal() {
        partitioned = false;
    }

    /** Returns how often the entry has queried the state, at least once in each tick of a request. */
    int queries() {
        return queries.get();
    }

    @Override
    public boolean isPartitioned() {
        queries.incrementAndGet();
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
