package org.baobabspindle.port;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The names of the headers that the gateway reads, sets or removes.
 *
 * @param requestId the id of one attempt of a caller; backend servers echo it
 * @param remainingMillis the milliseconds that the caller still waits
 * @param apiKey the API key of the caller; never forwarded
 * @param account the client account, set for backend servers
 * @param expectedInstance the only instance that may run the request
 * @param notRun set by a backend server that did not run the request
 * @param leaving set by a backend server that takes no new work and is about to end
 * @param serverStamp the signature of a backend server on its answer
 * @param model the model of a generation
 * @param tokenCount the tokens of the prompt and the most tokens of the answer, with a comma between
 * @param priority the urgency of a generation from 0 to 9, 0 first, set for backend servers
 * @param lastEventId the last event that the caller or the gateway already has
 * @param faultyServer names the backend server that an answer of an engine blames
 */
public record ForwardingHeaders(
        String requestId,
        String remainingMillis,
        String apiKey,
        String account,
        String expectedInstance,
        String notRun,
        String leaving,
        String serverStamp,
        String model,
        String tokenCount,
        String priority,
        String lastEventId,
        String faultyServer) {
    /**
     * Returns the headers of a caller that are not forwarded because the gateway sets them itself.
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
