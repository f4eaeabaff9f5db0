package org.baobabspindle.caller;

import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.http.Hashes;
import org.baobabspindle.serving.EntryTables;

/** Authenticates callers by their bearer tokens. */
final class CallerAuthenticator {
    private CallerAuthenticator() {}

    /** Returns the client account of the bearer token; empty if the token is missing or unknown. */
    static Optional<ClientAccountId> authenticate(EntryTables tables, HttpExchange exchange) {
        Optional<String> token = exchange.bearerToken().map(Hashes::sha256);
        return token.flatMap(
                t -> tables.log().with(v -> v.state().configuration().accountOf(t)));
    }
}
