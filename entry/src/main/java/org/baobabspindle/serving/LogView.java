package org.baobabspindle.serving;

import org.baobabspindle.core.freshness.Freshness;
import org.baobabspindle.core.log.ReplayedState;

/** The state that an entry has replayed from the log, and how recent it is. Guarded by the lock of rank STATE. */
public final class LogView {
    private final Freshness freshness;
    private ReplayedState state = new ReplayedState();

    /**
     * Creates the view of an entry that has not read the log.
     *
     * @param freshness the freshness of the entry
     */
    public LogView(Freshness freshness) {
        this.freshness = freshness;
    }

    /**
     * Returns the replayed state.
     *
     * @return the state; valid only while the lock is held
     */
    public ReplayedState state() {
        return state;
    }

    /**
     * Returns the freshness, which tracks the head of the log and the answers of other entries.
     *
     * @return the freshness; valid only while the lock is held
     */
    public Freshness freshness() {
        return freshness;
    }

    /**
     * Replaces the state by the state of a snapshot.
     *
     * @param restored the state of the snapshot
     */
    public void restore(ReplayedState restored) {
        state = restored;
    }
}
