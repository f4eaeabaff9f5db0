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

/** Handles chat completions and requests to plain services. */
public final class RequestEndpoint implements EntryHandler.Endpoint {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(30);

    private final EntryTables tables;
    private final RequestService service;
    private final OutcomeCounter outcomeCounter;
    private final int maxBodyBytes;

    /** Counts the outcomes of requests. */
    public interface OutcomeCounter {
        /**
         * Counts an outcome.
         *
         * @param outcome the outcome of a request
         */
        void count(Outcome outcome);
    }

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param service the service that runs the requests
     * @param outcomeCounter the counter of outcomes
     * @param maxBodyBytes the maximum size of a request body, in bytes
     */
    public RequestEndpoint(
            EntryTables tables, RequestService service, OutcomeCounter outcomeCounter, int maxBodyBytes) {
        this.tables = tables;
        this.service = service;
        this.outcomeCounter = outcomeCounter;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Optional<ClientAccountId> account = CallerAuthenticator.authenticate(tables, exchange);
        if (account.isEmpty()) {
            exchange.respond(Problem.refused(401, "the bearer token belongs to no client account"));
            return;
        }
        CallerRequest request = readRequest(exchange, account.get());
        HttpResponseSink sink = new HttpResponseSink(exchange);
        Outcome outcome = service.serve(request, sink);
        outcomeCounter.count(outcome);
        DecisionLog.write("outcome", outcome.toString(), "account", account.get(), "path", exchange.path());
        if (outcome instanceof Outcome.Completed) {
            sink.complete();
        } else if (sink.isCommitted()) {
            sink.abort(Problem.of(outcome));
        } else {
            exchange.respond(Problem.of(outcome));
        }
    }

    private CallerRequest readRequest(HttpExchange exchange, ClientAccountId account) throws IOException {
        String body = exchange.readBody(maxBodyBytes);
        String path = exchange.pathAndQuery();
        Duration timeout = exchange.header("Request-Timeout-Ms")
                .map(ms -> Duration.ofMillis(Long.parseLong(ms)))
                .orElse(DEFAULT_TIMEOUT);
        if (timeout.isNegative() || timeout.isZero() || timeout.compareTo(MAX_TIMEOUT) > 0) {
            throw new IllegalArgumentException(
                    "Request-Timeout-Ms must be 1 to " + MAX_TIMEOUT.toMillis() + " but was " + timeout.toMillis());
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
