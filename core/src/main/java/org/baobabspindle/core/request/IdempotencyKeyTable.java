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
 * The keys whose requests only this entry may run, with what became of them. A key is remembered for longer than it may
 * be used, so that it never runs twice. Not safe for use by several threads.
 */
public final class IdempotencyKeyTable {
    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Duration memory;
    private final Map<Owner, Slot> slots = new HashMap<>();
    private final LinkedHashMap<Owner, Instant> byAge = new LinkedHashMap<>();
    private final LinkedHashMap<Owner, Integer> answerSizes = new LinkedHashMap<>();
    private long answerBytes;

    /**
     * Creates an empty table.
     *
     * @param maxKeys the most keys remembered; further requests are not run until older keys lapse
     * @param maxAnswerBytes the most bytes of answers kept; the oldest are dropped first, the keys stay
     * @param memory how long a key is remembered after its first use
     */
    public IdempotencyKeyTable(int maxKeys, long maxAnswerBytes, Duration memory) {
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
        this.memory = memory;
    }

    private record Owner(ClientAccountId account, RequestKey key) {}

    private record Slot(String fingerprint, Decision state) {}

    /** What to do with a request that carries a key. */
    public sealed interface Decision {
        /** Run it; the outcome must be reported by {@link #finish}. */
        record Run() implements Decision {}

        /** An earlier request with this key is still running; share its outcome. */
        record Running() implements Decision {}

        /**
         * It ran; give the same answer.
         *
         * @param answer the answer
         */
        record Answered(StoredAnswer answer) implements Decision {}

        /** It ran or may have run, and no answer is kept. */
        record Unanswered() implements Decision {}

        /** The key belongs to a request with other content. */
        record Mismatch() implements Decision {}

        /** No further key can be remembered, so the request must not run. */
        record Full() implements Decision {}
    }

    /**
     * Decides on a request and, if it shall run, takes the key.
     *
     * @param now the present time
     * @param account the client account
     * @param key the key
     * @param fingerprint the hash of the request's content
     * @return the decision
     */
    public Decision begin(Instant now, ClientAccountId account, RequestKey key, String fingerprint) {
        forgetOld(now);
        Owner owner = new Owner(account, key);
        Slot slot = slots.get(owner);
        if (slot != null && !slot.fingerprint().equals(fingerprint)) {
            return new Decision.Mismatch();
        }
        if (slot != null && slot.state() instanceof Decision.Run) {
            slots.put(owner, new Slot(fingerprint, new Decision.Running()));
            return slot.state();
        }
        if (slot != null) {
            return slot.state();
        }
        if (slots.size() >= maxKeys) {
            return new Decision.Full();
        }
        slots.put(owner, new Slot(fingerprint, new Decision.Running()));
        byAge.put(owner, now);
        return new Decision.Run();
    }

    /**
     * Decides on a request whose key this entry won by an intent some time ago. Unlike a key with a ticket, such a key
     * does not tell its age, so one that is no longer remembered is never run.
     *
     * @param now the present time
     * @param account the client account
     * @param key the key
     * @param fingerprint the hash of the request's content
     * @return the decision
     */
    public Decision resume(Instant now, ClientAccountId account, RequestKey key, String fingerprint) {
        forgetOld(now);
        boolean remembered = slots.containsKey(new Owner(account, key));
        return remembered ? begin(now, account, key, fingerprint) : new Decision.Unanswered();
    }

    /**
     * Notes the end of a request that was told to run. After {@link Settlement#NOT_RUN} the key may run again.
     *
     * @param account the client account
     * @param key the key
     * @param settlement how the request ended
     * @param answer the whole answer, if it completed and may be kept
     */
    public void finish(ClientAccountId account, RequestKey key, Settlement settlement, Optional<StoredAnswer> answer) {
        Owner owner = new Owner(account, key);
        Slot slot = slots.get(owner);
        if (slot == null) {
            return;
        }
        if (settlement == Settlement.NOT_RUN) {
            slots.put(owner, new Slot(slot.fingerprint(), new Decision.Run()));
            return;
        }
        Decision end = answer.isPresent() ? new Decision.Answered(answer.get()) : new Decision.Unanswered();
        slots.put(owner, new Slot(slot.fingerprint(), end));
        answer.ifPresent(a -> keepAnswer(owner, a.length()));
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return the number of keys
     */
    public int size() {
        return slots.size();
    }

    private void keepAnswer(Owner owner, int bytes) {
        answerSizes.put(owner, bytes);
        answerBytes += bytes;
        Iterator<Map.Entry<Owner, Integer>> oldest = answerSizes.entrySet().iterator();
        while (answerBytes > maxAnswerBytes && oldest.hasNext()) {
            Map.Entry<Owner, Integer> e = oldest.next();
            answerBytes -= e.getValue();
            oldest.remove();
            slots.computeIfPresent(e.getKey(), (o, s) -> new Slot(s.fingerprint(), new Decision.Unanswered()));
        }
    }

    private void forgetOld(Instant now) {
        Iterator<Map.Entry<Owner, Instant>> oldest = byAge.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<Owner, Instant> e = oldest.next();
            if (e.getValue().plus(memory).isAfter(now)) {
                return;
            }
            if (slots.get(e.getKey()).state() instanceof Decision.Running) {
                continue;
            }
            oldest.remove();
            slots.remove(e.getKey());
            Integer bytes = answerSizes.remove(e.getKey());
            answerBytes -= bytes == null ? 0 : bytes;
        }
    }
}
