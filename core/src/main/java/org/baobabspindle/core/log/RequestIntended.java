package org.baobabspindle.core.log;

import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.RequestKey;

/**
 * Declares the intent of the writer to run a request whose key names no entry. The first intent for a key wins.
 *
 * @param account the client account
 * @param key the key of the request
 */
public record RequestIntended(ClientAccountId account, RequestKey key) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.intents().intend(account, key, position);
    }
}
