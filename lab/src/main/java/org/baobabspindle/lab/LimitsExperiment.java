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

/** Compares ways of holding an account's limit over several entries: what share of the limit is admitted. */
final class LimitsExperiment implements Experiment {
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("dealers");
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Option(name = "--seed", usage = "seed of the arrivals")
    private long seed = 1;

    @Option(name = "--entries", usage = "entries")
    private int entries = 8;

    @Option(name = "--limit", usage = "limit of the account, requests per second")
    private double limit = 40;

    @Option(name = "--offered", usage = "offered load as a multiple of the limit")
    private double offered = 2;

    @Option(name = "--seconds", usage = "simulated time")
    private int seconds = 300;

    @Override
    public void run() {
        for (int used : new int[] {1, 2, entries}) {
            for (int cut : new int[] {0, 1}) {
                System.out.println(measure(used, cut));
            }
        }
    }

    /** Sends the traffic to some entries, of which the last may be cut off from the home. */
    private String measure(int used, int cut) {
        Random random = new Random(seed);
        AccountTokenAllocator home = new AccountTokenAllocator();
        List<AccountTokenCache> spenders = new ArrayList<>();
        List<TokenBucket> shares = new ArrayList<>();
        double share = limit / entries;
        for (int i = 0; i < entries; i++) {
            spenders.add(new AccountTokenCache(START));
            shares.add(new TokenBucket(START, Math.max(1, share)));
        }
        long equal = 0;
        long leased = 0;
        long questions = 0;
        double at = 0;
        while (at < seconds) {
            at += -Math.log(1 - random.nextDouble()) / (limit * offered);
            Instant now = START.plusNanos((long) (at * 1e9));
            int entry = random.nextInt(used);
            equal += shares.get(entry).take(now, share, Math.max(1, share)).isZero() ? 1 : 0;
            AccountTokenCache spender = spenders.get(entry);
            boolean taken = spender.tryTake(now);
            boolean alone = cut > 0 && entry == used - 1;
            if (!taken && alone) {
                taken = spender.takeFromLocalShare(now, share).equals(Duration.ZERO);
            } else if (!taken && spender.retryDelay(now).isZero()) {
                questions++;
                taken = spender.acceptGrant(now, home.grant(now, ACCOUNT, limit, spender.tokensToRequest()));
            }
            leased += taken ? 1 : 0;
        }
        return String.format(
                "{\"seed\": %d, \"entries\": %d, \"entriesUsed\": %d, \"entriesCutOff\": %d, \"offered\": %.1f, "
                        + "\"equalSharePercentOfLimit\": %.1f, \"leasedPercentOfLimit\": %.1f, \"questionsPerSecond\": %.1f}",
                seed,
                entries,
                used,
                cut,
                offered,
                100 * equal / (limit * seconds),
                100 * leased / (limit * seconds),
                (double) questions / seconds);
    }
}
