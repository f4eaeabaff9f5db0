package org.baobabspindle.gateway;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/**
 * Decides when an entry is a keeper. Answers a large fleet, in which all entries would renew the lease, and entries that are
 * silent for a moment, whose places others take and give back.
 */
final class KeeperCandidacy {
    /** The entries that are keepers, those with the lowest ranks that answer; the next ones follow where some are lost. */
    static final int MAX_KEEPERS = 8;

    /** How long an entry stays a keeper once enough others come before it; an entry that was silent is back by then. */
    static final Duration DEMOTION_DELAY = Duration.ofSeconds(3);

    private Moment lastEligible;

    /** Creates the candidacy of an entry that has just started. */
    KeeperCandidacy(Moment now) {
        lastEligible = now;
    }

    /** What an entry does about its lease. */
    enum LeaseAction {
        /** Renews it, or asks for one. */
        RENEW {
            @Override
            void apply(KeeperLease lease) {
                lease.renew();
            }
        },
        /** Gives it up. */
        RELEASE {
            @Override
            void apply(KeeperLease lease) {
                lease.release();
            }
        },
        /** Has none and wants none. */
        NOTHING {
            @Override
            void apply(KeeperLease lease) {
                // The lease lapses by itself, if there ever was one.
            }
        };

        abstract void apply(KeeperLease lease);
    }

    /**
     * Decides what to do now.
     *
     * @param rank how many entries that answer come before this one
     * @param holds whether this entry holds partitions
     * @param now the present time
     */
    LeaseAction decide(int rank, boolean holds, Moment now) {
        if (rank < MAX_KEEPERS) {
            lastEligible = now;
        }
        if (now.since(lastEligible).compareTo(DEMOTION_DELAY) < 0) {
            return LeaseAction.RENEW;
        }
        return holds ? LeaseAction.RELEASE : LeaseAction.NOTHING;
    }
}
