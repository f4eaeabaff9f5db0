package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.core.fleet.BackendServer;

/** A link to backend servers whose state is set by a test. */
final class SwitchedLink implements BackendLink {
    private final AtomicInteger queries = new AtomicInteger();
    private volatile boolean partitioned;
    private volatile boolean othersFail;

    /** Makes the entry take itself for partitioned, with all connections to backend servers silent. */
    void cut() {
        partitioned = true;
    }

    /** Makes each server that fails one of several that fail at the same time. */
    void failAll() {
        othersFail = true;
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
    public boolean othersFail(BackendServer server) {
        return othersFail;
    }

    @Override
    public boolean heardWithin(Duration observed) {
        return !partitioned;
    }

    EntryRelay.Surroundings replaceIn(EntryRelay.Surroundings s) {
        return new EntryRelay.Surroundings(this, s.peers());
    }
}
