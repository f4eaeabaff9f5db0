package org.baobabspindle.core.configuration;

import java.util.Set;
import java.util.regex.Pattern;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.ModelVersion;

/**
 * The permissions and the rate limit of a client account.
 *
 * @param keySha256 the SHA-256 of the account's bearer token, 64 lower-case hexadecimal digits
 * @param models the models and adapters that the account may use, each with its version
 * @param services the plain services that the account may call
 * @param requestsPerSecond the rate limit over all entries, in requests per second, greater than 0
 */
public record AccountSetting(
        String keySha256, Set<ModelVersion> models, Set<String> services, double requestsPerSecond) {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    /** Checks the values and copies the collections. */
    public AccountSetting {
        Checks.require(
                keySha256 != null && SHA256.matcher(keySha256).matches(), "keySha256 must be 64 hexadecimal digits");
        models = models == null ? Set.of() : Set.copyOf(models);
        services = services == null ? Set.of() : Set.copyOf(services);
        Checks.require(requestsPerSecond > 0, "requestsPerSecond must be above 0 but was " + requestsPerSecond);
    }
}
