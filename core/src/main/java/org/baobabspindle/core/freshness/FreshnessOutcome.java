package org.baobabspindle.core.freshness;

/** The result of a freshness check: whether an entry may accept new requests, and why. */
public enum FreshnessOutcome {
    /** The entry has replayed the log up to an end offset that was read within the freshness bound. */
    FRESH_BY_LOG(true),
    /** A majority of the entries of the region has reported no newer version within the freshness bound. */
    FRESH_BY_PEERS(true),
    /** Another entry has replayed a newer version. */
    BEHIND(false),
    /** Neither the log nor enough entries have answered within the freshness bound. */
    UNHEARD(false);

    private final boolean fresh;

    FreshnessOutcome(boolean fresh) {
        this.fresh = fresh;
    }

    /**
     * Returns whether the entry may accept new requests.
     *
     * @return true if its configuration is known to be in force
     */
    public boolean isFresh() {
        return fresh;
    }
}
