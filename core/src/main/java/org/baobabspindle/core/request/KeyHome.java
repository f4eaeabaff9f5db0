package org.baobabspindle.core.request;

import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.log.ReplayedState;

/** Determines at which entry a request with an idempotency key may run. */
public sealed interface KeyHome {
    /** Only this entry may run the request. */
    record Here() implements KeyHome {}

    /**
     * Only another entry may run the request.
     *
     * @param entry the incarnation of that entry
     */
    record There(Incarnation entry) implements KeyHome {}

    /**
     * The only entry that may run the request has left the membership, so whether the request ran cannot be known.
     *
     * @param entry the incarnation of that entry
     */
    record Gone(Incarnation entry) implements KeyHome {}

    /** No entry is determined yet; the first intent for the key in the log will determine it. */
    record Undecided() implements KeyHome {}

    /**
     * Returns where a request may run.
     *
     * @param self the incarnation of this entry
     * @param state the state replayed from the log
     * @param account the client account
     * @param key the idempotency key
     * @return the entry that may run the request, if determined
     */
    static KeyHome find(Incarnation self, ReplayedState state, ClientAccountId account, RequestKey key) {
        Optional<Incarnation> home = Ticket.of(key).map(Ticket::home);
        if (home.isEmpty()) {
            home = state.intents().winner(account, key);
        }
        if (home.isEmpty()) {
            return new Undecided();
        }
        if (home.get().equals(self)) {
            return new Here();
        }
        boolean isMember = state.membership().find(home.get()).isPresent();
        return isMember ? new There(home.get()) : new Gone(home.get());
    }
}
