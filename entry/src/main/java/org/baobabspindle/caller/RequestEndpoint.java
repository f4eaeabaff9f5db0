package org.baobabspindle.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.http.Hashes;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.serving.CallerRequest;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RequestService;

/** Takes chat completions and calls of plain services. */
public final class RequestEndpoint implements EntryHandler.Endpoint {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration MOST_TIMEOUT = Duration.ofMinutes(30);

    private final EntryTables tables;
    private final RequestService service;
    private final OutcomeCounter outcomes;
    private final int maxBodyBytes;

    /** Counts outcomes. */
    public interface OutcomeCounter {
        /**
         * Counts an outcome.
         *
         * @param outcome how a request ended
         */
        void count(Outcome outcome);
    }

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param service serves the requests
     * @param outcomes counts how they end
     * @param maxBodyBytes the largest body
     */
    public RequestEndpoint(EntryTables tables, RequestService service, OutcomeCounter outcomes, int maxBodyBytes) {
        this.tables = tables;
        this.service = service;
        this.outcomes = outcomes;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Optional<ClientAccountId> account = CallerAuthenticator.authenticate(tables, exchange);
        if (account.isEmpty()) {
            exchange.respond(Problem.refused(401, "the bearer token belongs to no client account"));
            return;
        }
        CallerRequest request = read(exchange, account.get());
        HttpResponseSink sink = new HttpResponseSink(exchange);
        Outcome outcome = service.serve(request, sink);
        outcomes.count(outcome);
        DecisionLog.write("outcome", outcome.toString(), "account", account.get(), "path", exchange.path());
        if (outcome instanceof Outcome.Completed) {
            sink.end();
        } else if (sink.isCommitted()) {
            sink.fail(Problem.of(outcome));
        } else {
            exchange.respond(Problem.of(outcome));
        }
    }

    private CallerRequest read(HttpExchange exchange, ClientAccountId account) throws IOException {
        String body = exchange.readBody(maxBodyBytes);
        String path = exchange.pathAndQuery();
        Duration timeout = exchange.header("Request-Timeout-Ms")
                .map(ms -> Duration.ofMillis(Long.parseLong(ms)))
                .orElse(DEFAULT_TIMEOUT);
        if (timeout.isNegative() || timeout.isZero() || timeout.compareTo(MOST_TIMEOUT) > 0) {
            throw new IllegalArgumentException(
                    "Request-Timeout-Ms must be 1 to " + MOST_TIMEOUT.toMillis() + " but was " + timeout.toMillis());
        }
        return new CallerRequest(
                account,
                exchange.header("Idempotency-Key").map(RequestKey::of),
                exchange.method(),
                path,
                exchange.header("Content-Type").orElse("application/json"),
                body,
                Hashes.sha256(exchange.method() + '\n' + path + '\n' + body),
                tables.clock().instant().plus(timeout));
    }
}
