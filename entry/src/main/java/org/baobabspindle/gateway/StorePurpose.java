package org.baobabspindle.gateway;

import java.util.Locale;

/** The purpose of a call to the store; a label of a metric. */
enum StorePurpose {
    /** Reads on from a position. */
    READ,
    /** Reads on from a position because no other entry has served the records in time. */
    FALLBACK,
    /** Reads the latest record of each key, at the start or after a restore of the store. */
    SNAPSHOT,
    /** Announces this entry. */
    ANNOUNCEMENT,
    /** Renews the lease. */
    LEASE_RENEWAL,
    /** Releases the lease. */
    LEASE_RELEASE,
    /** Obtains a term. */
    TERM;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
