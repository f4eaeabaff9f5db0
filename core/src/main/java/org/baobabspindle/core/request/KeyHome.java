package org.baobabspindle.core.request;

import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.log.ReplayedState;

/** Where a request with a key may run. */
public sealed interface KeyHome {
    /** This entry is the only one that may run it. */
    record Here() implements KeyHome {}

    /**
     * Another entry is the only one that may run it.
     *
     * @param entry that entry
     */
    record There(Incarnation entry) implements KeyHome {}

    /**
     * The only entry that may run it is gone; whether it ran cannot be known.
     *
     * @param entry that entry
     */
    record Gone(Incarnation entry) implements KeyHome {}

    /** The first intent in the log decides, and there is none yet. */
    record Undecided() implements KeyHome {}

    /**
     * Finds where a request may run.
     *
     * @param self this entry
     * @param state the replayed state
     * @param account the client account
     * @param key the key
     * @return the place
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
        boolean counted = state.membership().find(home.get()).isPresent();
        return counted ? new There(home.get()) : new Gone(home.get());
    }
}
