package org.baobabspindle.serving;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.request.IdempotencyKeyTable;
import org.baobabspindle.core.request.Settlement;
import org.baobabspindle.core.request.StoredAnswer;

/** The idempotency key table, with the results that resent requests wait for. Guarded by the lock of rank KEYS. */
public final class IdempotencyKeys {
    private final IdempotencyKeyTable table;
    private final Map<AccountKey, CompletableFuture<RequestResult>> runningResults = new HashMap<>();

    /**
     * Creates a table without running requests.
     *
     * @param table the idempotency key table
     */
    public IdempotencyKeys(IdempotencyKeyTable table) {
        this.table = table;
    }

    private record AccountKey(ClientAccountId account, RequestKey key) {}

    /**
     * What to do with a request.
     *
     * @param decision the decision
     * @param running the result to wait for; present if another request with the key is running
     */
    record Begun(IdempotencyKeyTable.Decision decision, Optional<CompletableFuture<RequestResult>> running) {}

    Begun begin(Instant now, CallerRequest request, boolean intentWon) {
        RequestKey key = request.key().orElseThrow();
        AccountKey accountKey = new AccountKey(request.account(), key);
        Optional<CompletableFuture<RequestResult>> running = Optional.ofNullable(runningResults.get(accountKey));
        IdempotencyKeyTable.Decision decision = intentWon
                ? table.resume(now, request.account(), key, request.fingerprint())
                : table.begin(now, request.account(), key, request.fingerprint());
        if (decision instanceof IdempotencyKeyTable.Decision.Run) {
            runningResults.put(accountKey, new CompletableFuture<>());
        }
        return new Begun(decision, running);
    }

    /**
     * Settles a key, or frees it if the request did not run. Returns the future that resent requests wait for; the
     * caller must complete it without holding a lock.
     */
    Optional<CompletableFuture<RequestResult>> finish(
            CallerRequest request, Settlement settlement, Optional<StoredAnswer> answer) {
        RequestKey key = request.key().orElseThrow();
        table.finish(request.account(), key, settlement, answer);
        return Optional.ofNullable(runningResults.remove(new AccountKey(request.account(), key)));
    }

    /**
     * Returns the number of keys in the table.
     *
     * @return the number of keys
     */
    public int size() {
        return table.size();
    }
}
