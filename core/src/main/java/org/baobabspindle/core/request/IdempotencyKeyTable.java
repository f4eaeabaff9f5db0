package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.RequestKey;

/**
 * The idempotency keys whose requests only this entry may run, with the state of each request. A key is retained for
 * longer than it may be used, so that no request runs twice. This class is not thread-safe.
 */
public final class IdempotencyKeyTable {
    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Duration retention;
    private final Map<ScopedKey, KeyState> states = new HashMap<>();
    private final LinkedHashMap<ScopedKey, Instant> firstUsedAt = new LinkedHashMap<>();
    private final LinkedHashMap<ScopedKey, Integer> answerSizes = new LinkedHashMap<>();
    private long answerBytes;

    /**
     * Creates an empty table.
     *
     * @param maxKeys the maximum number of keys; requests with further keys are not run until older keys expire
     * @param maxAnswerBytes the maximum total size of stored answers, in bytes; the oldest answers are dropped first,
     *     their keys are retained
     * @param retention how long a key is retained after its first use
     */
    public IdempotencyKeyTable(int maxKeys, long maxAnswerBytes, Duration retention) {
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
        this.retention = retention;
    }

    private record ScopedKey(ClientAccountId account, RequestKey key) {}

    private record KeyState(String fingerprint, Decision decision) {}

    /** What to do with a request that has an idempotency key. */
    public sealed interface Decision {
        /** Run the request and report its settlement to {@link #finish}. */
        record Run() implements Decision {}

        /** An earlier request with this key is still running; this request shares its outcome. */
        record Running() implements Decision {}

        /**
         * The request ran; return the stored answer.
         *
         * @param answer the stored answer
         */
        record Answered(StoredAnswer answer) implements Decision {}

        /** The request ran or may have run, and no answer is stored. */
        record Unanswered() implements Decision {}

        /** The key was used for a request with different content. */
        record Mismatch() implements Decision {}

        /** The table is full, so the request must not run. */
        record Full() implements Decision {}
    }

    /**
     * Decides on a request and marks its key as running if the request is to run.
     *
     * @param now the current time
     * @param account the client account
     * @param key the idempotency key
     * @param fingerprint the fingerprint of the request
     * @return the decision
     */
    public Decision begin(Instant now, ClientAccountId account, RequestKey key, String fingerprint) {
        removeExpired(now);
        ScopedKey scopedKey = new ScopedKey(account, key);
        KeyState state = states.get(scopedKey);
        if (state != null && !state.fingerprint().equals(fingerprint)) {
            return new Decision.Mismatch();
        }
        if (state != null && state.decision() instanceof Decision.Run) {
            states.put(scopedKey, new KeyState(fingerprint, new Decision.Running()));
            return state.decision();
        }
        if (state != null) {
            return state.decision();
        }
        if (states.size() >= maxKeys) {
            return new Decision.Full();
        }
        states.put(scopedKey, new KeyState(fingerprint, new Decision.Running()));
        firstUsedAt.put(scopedKey, now);
        return new Decision.Run();
    }

    /**
     * Decides on a request whose key this entry claimed by an intent earlier. Unlike a key with a ticket, such a key
     * does not carry its age, so a request whose key is no longer retained is never run.
     *
     * @param now the current time
     * @param account the client account
     * @param key the idempotency key
     * @param fingerprint the fingerprint of the request
     * @return the decision
     */
    public Decision resume(Instant now, ClientAccountId account, RequestKey key, String fingerprint) {
        removeExpired(now);
        boolean retained = states.containsKey(new ScopedKey(account, key));
        return retained ? begin(now, account, key, fingerprint) : new Decision.Unanswered();
    }

    /**
     * Records the settlement of a request for which the decision was {@link Decision.Run}. After
     * {@link Settlement#NOT_RUN}, a request with the key may run again.
     *
     * @param account the client account
     * @param key the idempotency key
     * @param settlement the settlement of the request
     * @param answer the complete answer, or empty if the request did not complete or the answer must not be stored
     */
    public void finish(ClientAccountId account, RequestKey key, Settlement settlement, Optional<StoredAnswer> answer) {
        ScopedKey scopedKey = new ScopedKey(account, key);
        KeyState state = states.get(scopedKey);
        if (state == null) {
            return;
        }
        if (settlement == Settlement.NOT_RUN) {
            states.put(scopedKey, new KeyState(state.fingerprint(), new Decision.Run()));
            return;
        }
        Decision decision = answer.isPresent() ? new Decision.Answered(answer.get()) : new Decision.Unanswered();
        states.put(scopedKey, new KeyState(state.fingerprint(), decision));
        answer.ifPresent(a -> storeAnswer(scopedKey, a.length()));
    }

    /**
     * Returns the number of retained keys.
     *
     * @return the number of keys
     */
    public int size() {
        return states.size();
    }

    private void storeAnswer(ScopedKey scopedKey, int bytes) {
        answerSizes.put(scopedKey, bytes);
        answerBytes += bytes;
        Iterator<Map.Entry<ScopedKey, Integer>> oldest = answerSizes.entrySet().iterator();
        while (answerBytes > maxAnswerBytes && oldest.hasNext()) {
            Map.Entry<ScopedKey, Integer> next = oldest.next();
            answerBytes -= next.getValue();
            oldest.remove();
            states.computeIfPresent(next.getKey(), (k, s) -> new KeyState(s.fingerprint(), new Decision.Unanswered()));
        }
    }

    private void removeExpired(Instant now) {
        Iterator<Map.Entry<ScopedKey, Instant>> oldest = firstUsedAt.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ScopedKey, Instant> next = oldest.next();
            if (next.getValue().plus(retention).isAfter(now)) {
                return;
            }
            if (states.get(next.getKey()).decision() instanceof Decision.Running) {
                continue;
            }
            oldest.remove();
            states.remove(next.getKey());
            Integer bytes = answerSizes.remove(next.getKey());
            answerBytes -= bytes == null ? 0 : bytes;
        }
    }
}
