package org.baobabspindle.core.log;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.RequestKey;

/**
 * The intents, as computed by replay. An intent declares in the log that an entry wants to run a request whose key
 * names no entry; the first intent for a key wins, and only its entry may run the request.
 */
public final class Intents {
    private final Map<Owner, Intent> byOwner = new HashMap<>();
    private final Map<LogOffset, Owner> byOffset = new LinkedHashMap<>();

    Intents() {}

    private record Owner(ClientAccountId account, RequestKey key) {}

    /**
     * The first intent for a key.
     *
     * @param account the client account
     * @param key the key
     * @param winner the only entry that may run the request
     * @param offset the offset of the intent in the log
     */
    public record Intent(ClientAccountId account, RequestKey key, Incarnation winner, LogOffset offset) {}

    /**
     * Finds the entry that may run a request.
     *
     * @param account the client account
     * @param key the key
     * @return the entry whose intent came first, or empty if there is none
     */
    public Optional<Incarnation> winner(ClientAccountId account, RequestKey key) {
        return Optional.ofNullable(byOwner.get(new Owner(account, key))).map(Intent::winner);
    }

    Collection<Intent> all() {
        return byOffset.values().stream().map(byOwner::get).toList();
    }

    Verdict intend(ClientAccountId account, RequestKey key, RecordPosition position) {
        Owner owner = new Owner(account, key);
        Intent earlier = byOwner.get(owner);
        if (earlier != null) {
            return Verdict.refused("the key belongs to " + earlier.winner());
        }
        restore(new Intent(account, key, position.writer(), position.offset()));
        return Verdict.ACCEPTED;
    }

    Verdict expire(LogOffset through) {
        List<LogOffset> expired = byOffset.keySet().stream()
                .takeWhile(offset -> offset.compareTo(through) <= 0)
                .toList();
        expired.forEach(offset -> byOwner.remove(byOffset.remove(offset)));
        return Verdict.ACCEPTED;
    }

    void restore(Intent intent) {
        Owner owner = new Owner(intent.account(), intent.key());
        byOwner.put(owner, intent);
        byOffset.put(intent.offset(), owner);
    }
}
