package org.baobabspindle.core.request;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.id.ClientAccountId;

/**
 * Enforces the request rate limits of the client accounts whose home is this entry. All entries obtain their tokens
 * from the home of an account, so an account can use its whole limit whichever entries receive its requests. This class
 * is not thread-safe.
 */
public final class AccountTokenAllocator {
    private final Map<ClientAccountId, TokenBucket> buckets = new HashMap<>();

    /** Creates an allocator that has granted no tokens. */
    public AccountTokenAllocator() {}

    /**
     * Grants tokens from the bucket of an account.
     *
     * @param now the current time
     * @param account the client account
     * @param perSecond the rate limit of the account, in requests per second
     * @param maxTokens the maximum number of tokens to grant
     * @return the number of tokens granted; may be zero
     */
    public int grant(Instant now, ClientAccountId account, double perSecond, int maxTokens) {
        double burst = Math.max(1, perSecond);
        TokenBucket bucket = buckets.computeIfAbsent(account, a -> new TokenBucket(now, burst));
        return bucket.takeUpTo(now, perSecond, burst, maxTokens);
    }
}
