package org.baobabspindle.operator;

import java.io.IOException;
import org.baobabspindle.caller.EntryHandler;
import org.baobabspindle.caller.HttpExchange;
import org.baobabspindle.caller.Problem;
import org.baobabspindle.http.Hashes;

/** Restricts an endpoint to operators, who authenticate with a bearer token. */
public final class OperatorOnlyEndpoint implements EntryHandler.Endpoint {
    private final String tokenSha256;
    private final EntryHandler.Endpoint endpoint;

    /**
     * Creates the endpoint.
     *
     * @param tokenSha256 the SHA-256 of the operators' token, in lower-case hexadecimal digits
     * @param endpoint the endpoint that handles the requests of operators
     */
    public OperatorOnlyEndpoint(String tokenSha256, EntryHandler.Endpoint endpoint) {
        this.tokenSha256 = tokenSha256;
        this.endpoint = endpoint;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        boolean authenticated = exchange.bearerToken()
                .map(t -> Hashes.sha256(t).equals(tokenSha256))
                .orElse(false);
        if (!authenticated) {
            exchange.respond(Problem.refused(401, "the bearer token is not the operators'"));
            return;
        }
        endpoint.handle(exchange);
    }
}
