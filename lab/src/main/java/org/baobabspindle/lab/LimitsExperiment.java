package org.baobabspindle.lab;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.request.AccountTokenAllocator;
import org.baobabspindle.core.request.AccountTokenCache;
import org.baobabspindle.core.request.TokenBucket;
import org.kohsuke.args4j.Option;

/** Compares two ways to enforce an account's rate limit across entries by the share of the limit that they admit. */
final class LimitsExperiment implements Experiment {
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("dealers");
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Option(name = "--seed", usage = "random seed of the arrivals")
    private long seed = 1;

    @Option(name = "--entries", usage = "number of entries")
    private int entryCount = 8;

    @Option(name = "--limit", usage = "rate limit of the account in requests per second")
    private double limit = 40;

    @Option(name = "--offered", usage = "offered load as a multiple of the limit")
    private double offeredMultiple = 2;

    @Option(name = "--seconds", usage = "simulated time in seconds")
    private int seconds = 300;

    @Override
    public void run() {
        for (int entriesUsed : new int[] {1, 2, entryCount}) {
            for (int entriesCutOff : new int[] {0, 1}) {
                System.out.println(measure(entriesUsed, entriesCutOff));
            }
        }
    }

    /** Sends the traffic to some of the entries, of which the last may be partitioned from the account's home entry. */
    private String measure(int entriesUsed, int entriesCutOff) {
        Random random = new Random(seed);
        AccountTokenAllocator home = new AccountTokenAllocator();
        List<AccountTokenCache> caches = new ArrayList<>();
        List<TokenBucket> equalShareBuckets = new ArrayList<>();
        double share = limit / entryCount;
        for (int i = 0; i < entryCount; i++) {
            caches.add(new AccountTokenCache(START));
            equalShareBuckets.add(new TokenBucket(START, Math.max(1, share)));
        }
        long admittedByEqualShare = 0;
        long admittedByLease = 0;
        long tokenRequests = 0;
        double arrival = 0;
        while (arrival < seconds) {
            arrival += -Math.log(1 - random.nextDouble()) / (limit * offeredMultiple);
            Instant now = START.plusNanos((long) (arrival * 1e9));
            int entry = random.nextInt(entriesUsed);
            admittedByEqualShare += equalShareBuckets
                            .get(entry)
                            .take(now, share, Math.max(1, share))
                            .isZero()
                    ? 1
                    : 0;
            AccountTokenCache cache = caches.get(entry);
            boolean admitted = cache.tryTake(now);
            boolean cutOff = entriesCutOff > 0 && entry == entriesUsed - 1;
            if (!admitted && cutOff) {
                admitted = cache.takeFromLocalShare(now, share).equals(Duration.ZERO);
            } else if (!admitted && cache.retryDelay(now).isZero()) {
                tokenRequests++;
                admitted = cache.acceptGrant(now, home.grant(now, ACCOUNT, limit, cache.tokensToRequest()));
            }
            admittedByLease += admitted ? 1 : 0;
        }
        return String.format(
                "{\"seed\": %d, \"entries\": %d, \"entriesUsed\": %d, \"entriesCutOff\": %d, \"offered\": %.1f, "
                        + "\"equalSharePercentOfLimit\": %.1f, \"leasedPercentOfLimit\": %.1f, \"questionsPerSecond\": %.1f}",
                seed,
                entryCount,
                entriesUsed,
                entriesCutOff,
                offeredMultiple,
                100 * admittedByEqualShare / (limit * seconds),
                100 * admittedByLease / (limit * seconds),
                (double) tokenRequests / seconds);
    }
}
