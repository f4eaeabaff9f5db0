package org.baobabspindle.core.configuration;

import java.util.Set;

/**
 * The rules for calls of a plain service.
 *
 * @param idempotentMethods the HTTP methods whose calls may be retried, {@code GET} if absent
 */
public record ServiceSetting(Set<String> idempotentMethods) {
    /** Copies the methods. */
    public ServiceSetting {
        idempotentMethods = idempotentMethods == null ? Set.of("GET") : Set.copyOf(idempotentMethods);
    }
}
