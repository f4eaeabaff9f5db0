package org.baobabspindle.serving;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.RequestKey;

/**
 * A request of a known client account.
 *
 * @param account the client account
 * @param key the idempotency key that the caller sent, if any
 * @param method the HTTP method
 * @param path the path with the query
 * @param contentType the media type of the body
 * @param body the body
 * @param fingerprint the hash of the method, the path and the body
 * @param deadline the time at which the caller stops waiting
 */
public record CallerRequest(
        ClientAccountId account,
        Optional<RequestKey> key,
        String method,
        String path,
        String contentType,
        String body,
        String fingerprint,
        Instant deadline) {}
