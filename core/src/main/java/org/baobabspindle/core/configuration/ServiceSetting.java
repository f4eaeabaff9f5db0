package org.baobabspindle.core.configuration;

import java.util.Set;

/**
 * How a plain service is called.
 *
 * @param idempotentMethods the HTTP methods whose calls may be repeated
 */
public record ServiceSetting(Set<String> idempotentMethods) {
    /** Takes a copy. */
    public ServiceSetting {
        idempotentMethods = idempotentMethods == null ? Set.of("GET") : Set.copyOf(idempotentMethods);
    }
}
