package org.baobabspindle.core.request;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.id.ClientAccountId;

/**
 * The whole limits of the client accounts whose home is this entry. Other entries take tokens here, so an account gets
 * its whole limit wherever its traffic lands. Not safe for use by several threads.
 */
public final class AccountTokenAllocator {
    private final Map<ClientAccountId, TokenBucket> buckets = new HashMap<>();

    /** Creates a home of which nothing was taken. */
    public AccountTokenAllocator() {}

    /**
     * Grants tokens.
     *
     * @param now the present time
     * @param account the client account
     * @param perSecond the limit of the account, in requests per second
     * @param wanted the most tokens to grant
     * @return the tokens granted, perhaps none
     */
    public int grant(Instant now, ClientAccountId account, double perSecond, int wanted) {
        double burst = Math.max(1, perSecond);
        TokenBucket bucket = buckets.computeIfAbsent(account, a -> new TokenBucket(now, burst));
        return bucket.takeUpTo(now, perSecond, burst, wanted);
    }
}
