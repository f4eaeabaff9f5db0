package org.baobabspindle.gateway;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;
import org.baobabspindle.core.formation.WeightLoadLimiter;
import org.baobabspindle.core.id.InstanceId;

/**
 * The order in which entries become keepers. Answers a large fleet, whose entries would otherwise all renew a lease several
 * times a second. The order does not depend on who else is there, so that a loss moves one place only.
 */
final class KeeperRanks {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeeperRanks() {}

    /** Returns how many of the other entries come before an entry. */
    static int rank(InstanceId self, Collection<InstanceId> others) {
        int before = 0;
        for (InstanceId other : others) {
            before += isBefore(other, self) ? 1 : 0;
        }
        return before;
    }

    /** Returns the place of an entry among the keepers; one that is about to be none counts as the last. */
    static WeightLoadLimiter.Share share(int rank, int entries) {
        int keepers = Math.min(entries, KeeperCandidacy.MAX_KEEPERS);
        return new WeightLoadLimiter.Share(Math.min(rank, keepers - 1), keepers);
    }

    private static boolean isBefore(InstanceId a, InstanceId b) {
        long x = HASH.hashChars(a.value());
        long y = HASH.hashChars(b.value());
        return x == y ? a.compareTo(b) < 0 : x < y;
    }
}
