package org.baobabspindle.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;

/**
 * Enforces the request rate of client accounts across all entries. One entry, the home of the account, allocates the
 * whole rate. The other entries request tokens from it and fall back to an equal share of the rate while it does not
 * answer.
 */
public final class AccountRateLimiter {
    private final EntryTables tables;
    private final HomeClient homeClient;

    /** Requests tokens from the home entries of client accounts. */
    public interface HomeClient {
        /**
         * Requests tokens.
         *
         * @param home the home entry of the account
         * @param account the client account
         * @param requested the number of tokens to request
         * @return the number of tokens granted, or empty if the home entry does not answer
         */
        OptionalInt requestTokens(EntryDescription home, ClientAccountId account, int requested);
    }

    AccountRateLimiter(EntryTables tables, HomeClient homeClient) {
        this.tables = tables;
        this.homeClient = homeClient;
    }

    /** Takes a token and returns zero, or returns the delay after which the caller may retry. */
    Duration acquire(Instant now, ClientAccountId account, double perSecond) {
        boolean taken = tables.loads().with(l -> l.tokenCache(account, now).tryTake(now));
        if (taken) {
            return Duration.ZERO;
        }
        Duration retryDelay =
                tables.loads().with(l -> l.tokenCache(account, now).retryDelay(now));
        if (!retryDelay.isZero()) {
            return retryDelay;
        }
        List<EntryDescription> entries =
                tables.log().with(v -> v.state().membership().entries());
        int requested = tables.loads().with(l -> l.tokenCache(account, now).tokensToRequest());
        OptionalInt granted = requestTokens(now, entries, account, perSecond, requested);
        if (granted.isEmpty()) {
            double share = perSecond / Math.max(1, entries.size());
            return tables.loads().with(l -> l.tokenCache(account, now).takeFromLocalShare(now, share));
        }
        boolean spent = tables.loads().with(l -> l.tokenCache(account, now).acceptGrant(now, granted.getAsInt()));
        return spent ? Duration.ZERO : Duration.ofNanos((long) (1e9 / perSecond));
    }

    private OptionalInt requestTokens(
            Instant now, List<EntryDescription> entries, ClientAccountId account, double perSecond, int requested) {
        Optional<EntryDescription> home = homeOf(account, entries);
        if (home.isEmpty() || home.get().id().equals(tables.id())) {
            return OptionalInt.of(grant(now, account, perSecond, requested));
        }
        return homeClient.requestTokens(home.get(), account, requested);
    }

    private static Optional<EntryDescription> homeOf(ClientAccountId account, List<EntryDescription> entries) {
        List<Incarnation> ids = entries.stream().map(EntryDescription::id).toList();
        Optional<Incarnation> home =
                Rendezvous.rank(account.value(), ids).stream().findFirst();
        return entries.stream().filter(e -> Optional.of(e.id()).equals(home)).findFirst();
    }

    /** Grants tokens of an account whose home is this entry; returns the number granted. */
    int grant(Instant now, ClientAccountId account, double perSecond, int requested) {
        return tables.loads().with(l -> l.tokenAllocator().grant(now, account, perSecond, requested));
    }
}
