package org.baobabspindle.port;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * What the head of a response tells about the backend server that sent it.
 *
 * @param status the HTTP status
 * @param leaving whether the server reports that it is leaving
 * @param retryAfter the time to wait before the next request, in seconds; empty if the server names none
 * @param rateLimit the requests per second that the server accepts from all entries together; empty if it names no limit
 * @param coldMillis the milliseconds for which the server stays cold; empty if it does not state it
 */
public record ResponseHead(
        int status,
        boolean leaving,
        Optional<String> retryAfter,
        Optional<String> rateLimit,
        Optional<String> coldMillis) {
    /**
     * Reads the head of a response.
     *
     * @param status the HTTP status
     * @param headers the headers of the response
     * @param names the names of the headers
     * @return the head
     */
    public static ResponseHead of(int status, HttpFields headers, ForwardingHeaders names) {
        return new ResponseHead(
                status,
                headers.contains(names.leaving()),
                Optional.ofNullable(headers.get("Retry-After")),
                Optional.ofNullable(headers.get(names.rateLimit())),
                Optional.ofNullable(headers.get(names.coldMillis())));
    }
}
