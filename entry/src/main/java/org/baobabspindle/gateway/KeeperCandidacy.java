package org.baobabspindle.gateway;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/**
 * Decides whether an entry acts as a keeper. Only a few entries of a large fleet do, because the renewals of all
 * entries would load the store. A keeper that is no longer among the lowest ranks stays a keeper for a while, so that
 * partitions do not move to another keeper and back when an entry is unresponsive for a moment. An entry that is
 * partitioned from the backend servers is no keeper, since its orders would not arrive.
 */
final class KeeperCandidacy {
    /**
     * The number of keepers: the responsive entries with the lowest ranks. If one is lost, the next in rank takes its
     * place.
     */
    static final int MAX_KEEPERS = 8;

    /**
     * How long an entry stays a keeper once enough entries with lower ranks respond; an unresponsive entry has
     * recovered by then.
     */
    static final Duration DEMOTION_DELAY = Duration.ofSeconds(3);

    private Moment lastEligible;

    /** Creates the candidacy of an entry that has just started, which counts as eligible. */
    KeeperCandidacy(Moment now) {
        lastEligible = now;
    }

    /** What an entry does with its lease. */
    enum LeaseAction {
        /** Renews or acquires the lease. */
        RENEW {
            @Override
            void apply(KeeperLease lease) {
                lease.renew();
            }
        },
        /** Releases the lease. */
        RELEASE {
            @Override
            void apply(KeeperLease lease) {
                lease.release();
            }
        },
        /** Does nothing: the entry holds no lease and needs none. */
        NOTHING {
            @Override
            void apply(KeeperLease lease) {
                // A lease that was held before expires by itself.
            }
        };

        abstract void apply(KeeperLease lease);
    }

    /**
     * Returns what the entry does with its lease now.
     *
     * @param rank the number of candidates that precede this one
     * @param holds whether this entry holds partitions of the lease
     * @param partitioned whether this entry is partitioned from the backend servers
     * @param now the current time
     */
    LeaseAction decide(int rank, boolean holds, boolean partitioned, Moment now) {
        if (partitioned) {
            lastEligible = now.minus(DEMOTION_DELAY);
        } else if (rank < MAX_KEEPERS) {
            lastEligible = now;
        }
        if (now.since(lastEligible).compareTo(DEMOTION_DELAY) < 0) {
            return LeaseAction.RENEW;
        }
        return holds ? LeaseAction.RELEASE : LeaseAction.NOTHING;
    }
}
