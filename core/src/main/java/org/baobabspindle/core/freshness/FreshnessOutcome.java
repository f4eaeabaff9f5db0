package org.baobabspindle.core.freshness;

/** Whether an entry may take new work, and on what ground. */
public enum FreshnessOutcome {
    /** The entry has replayed up to the head that the log showed recently. */
    FRESH_BY_LOG(true),
    /** A majority of the region's entries has recently shown nothing newer. */
    FRESH_BY_PEERS(true),
    /** Another entry has replayed something newer. */
    BEHIND(false),
    /** Neither the log nor enough entries were heard within the bound. */
    UNHEARD(false);

    private final boolean fresh;

    FreshnessOutcome(boolean fresh) {
        this.fresh = fresh;
    }

    /**
     * Tells whether the entry may take new work.
     *
     * @return whether the configuration it has is in force
     */
    public boolean isFresh() {
        return fresh;
    }
}
