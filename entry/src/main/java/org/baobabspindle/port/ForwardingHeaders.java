package org.baobabspindle.port;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The names of the HTTP headers that the gateway reads, sets or removes.
 *
 * @param requestId the id of one attempt of a caller; backend servers echo it in their responses
 * @param remainingMillis the milliseconds until the deadline of the caller
 * @param apiKey the API key of the caller; not forwarded
 * @param account the client account, set by the gateway for backend servers
 * @param expectedInstance the only instance that may run the request; another one rejects it
 * @param notRun set by a backend server that rejected the request without running it
 * @param leaving set by a backend server that accepts no new work and is about to terminate
 * @param rateLimit set by a backend server that is overloaded to the requests per second, a decimal number, that it
 *     accepts from all entries together
 * @param coldMillis set by a backend server that may be cold to the milliseconds for which it stays cold; 0 if it is not
 * @param serverStamp the signature of a backend server over its response
 * @param model the model of a generation
 * @param tokenCount the number of prompt tokens and the maximum number of generated tokens, separated by a comma
 * @param promptParts the parts of the prompt of a generation in order, separated by commas, each an identifier, a colon
 *     and a number of tokens; requests share parts except the last one, which belongs to one request or session
 * @param priority the priority of a generation from 0 (highest) to 9, set by the gateway for backend servers
 * @param lastEventId the id of the last event that the caller or the gateway has received
 * @param faultyServer set by an engine in an error response to the id of the backend server that caused the error
 */
public record ForwardingHeaders(
        String requestId,
        String remainingMillis,
        String apiKey,
        String account,
        String expectedInstance,
        String notRun,
        String leaving,
        String rateLimit,
        String coldMillis,
        String serverStamp,
        String model,
        String tokenCount,
        String promptParts,
        String priority,
        String lastEventId,
        String faultyServer) {
    /**
     * Returns the caller's headers that are not forwarded, because the gateway replaces or removes them.
     *
     * @return their names in lower case
     */
    public Set<String> replacedHeaders() {
        return Set.copyOf(List.of(
                remainingMillis.toLowerCase(Locale.ROOT),
                apiKey.toLowerCase(Locale.ROOT),
                account.toLowerCase(Locale.ROOT),
                expectedInstance.toLowerCase(Locale.ROOT),
                priority.toLowerCase(Locale.ROOT),
                lastEventId.toLowerCase(Locale.ROOT)));
    }
}
