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
 * Spends the limits of client accounts. Each account has a home among the entries that holds the whole limit; the others
 * take tokens there, and fall back to an equal share while the home does not answer.
 */
public final class AccountRateLimiter {
    private final EntryTables tables;
    private final HomeClient homes;

    /** Asks the homes of accounts. */
    public interface HomeClient {
        /**
         * Asks for tokens.
         *
         * @param home the entry that is the home
         * @param account the client account
         * @param wanted the tokens wanted
         * @return the tokens granted, or empty if the home does not answer
         */
        OptionalInt requestTokens(EntryDescription home, ClientAccountId account, int wanted);
    }

    AccountRateLimiter(EntryTables tables, HomeClient homes) {
        this.tables = tables;
        this.homes = homes;
    }

    /** Takes a token and returns zero, or returns when to come back. */
    Duration acquire(Instant now, ClientAccountId account, double perSecond) {
        boolean taken = tables.loads().with(l -> l.spender(account, now).tryTake(now));
        if (taken) {
            return Duration.ZERO;
        }
        Duration dry = tables.loads().with(l -> l.spender(account, now).retryDelay(now));
        if (!dry.isZero()) {
            return dry;
        }
        List<EntryDescription> entries =
                tables.log().with(v -> v.state().membership().entries());
        int wanted = tables.loads().with(l -> l.spender(account, now).tokensToRequest());
        OptionalInt granted = ask(now, entries, account, perSecond, wanted);
        if (granted.isEmpty()) {
            double share = perSecond / Math.max(1, entries.size());
            return tables.loads().with(l -> l.spender(account, now).takeFromLocalShare(now, share));
        }
        boolean spent = tables.loads().with(l -> l.spender(account, now).acceptGrant(now, granted.getAsInt()));
        return spent ? Duration.ZERO : Duration.ofNanos((long) (1e9 / perSecond));
    }

    private OptionalInt ask(
            Instant now, List<EntryDescription> entries, ClientAccountId account, double perSecond, int wanted) {
        Optional<EntryDescription> home = homeOf(account, entries);
        if (home.isEmpty() || home.get().id().equals(tables.id())) {
            return OptionalInt.of(grant(now, account, perSecond, wanted));
        }
        return homes.requestTokens(home.get(), account, wanted);
    }

    private static Optional<EntryDescription> homeOf(ClientAccountId account, List<EntryDescription> entries) {
        List<Incarnation> ids = entries.stream().map(EntryDescription::id).toList();
        Optional<Incarnation> first =
                Rendezvous.rank(account.value(), ids).stream().findFirst();
        return entries.stream().filter(e -> Optional.of(e.id()).equals(first)).findFirst();
    }

    /** Grants tokens of an account whose home is this entry. */
    int grant(Instant now, ClientAccountId account, double perSecond, int wanted) {
        return tables.loads().with(l -> l.home().grant(now, account, perSecond, wanted));
    }
}
