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

/** The key table together with what resent requests wait for. Guarded by the lock of rank KEYS. */
public final class IdempotencyKeys {
    private final IdempotencyKeyTable table;
    private final Map<Owner, CompletableFuture<RequestResult>> running = new HashMap<>();

    /**
     * Creates the tables.
     *
     * @param table the key table
     */
    public IdempotencyKeys(IdempotencyKeyTable table) {
        this.table = table;
    }

    private record Owner(ClientAccountId account, RequestKey key) {}

    IdempotencyKeyTable.Decision begin(Instant now, CallerRequest request, boolean wonBefore) {
        RequestKey key = request.key().orElseThrow();
        IdempotencyKeyTable.Decision decision = wonBefore
                ? table.resume(now, request.account(), key, request.fingerprint())
                : table.begin(now, request.account(), key, request.fingerprint());
        if (decision instanceof IdempotencyKeyTable.Decision.Run) {
            running.put(new Owner(request.account(), key), new CompletableFuture<>());
        }
        return decision;
    }

    Optional<CompletableFuture<RequestResult>> running(CallerRequest request) {
        return Optional.ofNullable(
                running.get(new Owner(request.account(), request.key().orElseThrow())));
    }

    /** Frees or settles a key and returns what the resent requests wait for; complete it without holding a lock. */
    Optional<CompletableFuture<RequestResult>> finish(
            CallerRequest request, Settlement settlement, Optional<StoredAnswer> answer) {
        RequestKey key = request.key().orElseThrow();
        table.finish(request.account(), key, settlement, answer);
        return Optional.ofNullable(running.remove(new Owner(request.account(), key)));
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return the number of keys
     */
    public int size() {
        return table.size();
    }
}
