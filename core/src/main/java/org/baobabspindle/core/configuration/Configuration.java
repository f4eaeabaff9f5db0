package org.baobabspindle.core.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.ModelVersion;

/**
 * A configuration of the system: models, client accounts, plain services and drained instances.
 *
 * @param placement the placement policy
 * @param models the models to serve, by {@code model@version}
 * @param accounts the client accounts, by name
 * @param services the plain services, by name
 * @param drained the instances that an operator has excluded from new work
 */
public record Configuration(
        @JsonProperty("placement") PlacementPolicy placement,
        @JsonProperty("models") Map<String, ModelSetting> models,
        @JsonProperty("accounts") Map<String, AccountSetting> accounts,
        @JsonProperty("services") Map<String, ServiceSetting> services,
        @JsonProperty("drained") Set<String> drained) {
    /** The configuration before the first patch, which serves nothing. */
    public static final Configuration EMPTY =
            new Configuration(PlacementPolicy.LEAST_DOWNTIME, Map.of(), Map.of(), Map.of(), Set.of());

    /** Checks names and references and makes sorted copies of the collections. */
    public Configuration {
        placement = placement == null ? PlacementPolicy.LEAST_DOWNTIME : placement;
        models = models == null ? new TreeMap<>() : new TreeMap<>(models);
        accounts = accounts == null ? new TreeMap<>() : new TreeMap<>(accounts);
        services = services == null ? new TreeMap<>() : new TreeMap<>(services);
        drained = drained == null ? new TreeSet<>() : new TreeSet<>(drained);
        models.keySet().forEach(ModelVersion::parse);
        services.keySet().forEach(name -> Checks.identifier("service", name));
        drained.forEach(InstanceId::of);
        for (Map.Entry<String, AccountSetting> e : accounts.entrySet()) {
            ClientAccountId.of(e.getKey());
            for (ModelVersion m : e.getValue().models()) {
                Checks.require(models.containsKey(m.toString()), "account " + e.getKey() + " names unknown model " + m);
            }
            for (String s : e.getValue().services()) {
                Checks.require(services.containsKey(s), "account " + e.getKey() + " names unknown service " + s);
            }
        }
    }

    /**
     * Finds the account that a bearer token belongs to.
     *
     * @param tokenSha256 the SHA-256 of the token in lower-case hexadecimal digits
     * @return the account, or empty if no account has this token
     */
    public Optional<ClientAccountId> accountOf(String tokenSha256) {
        for (Map.Entry<String, AccountSetting> e : accounts.entrySet()) {
            if (e.getValue().keySha256().equals(tokenSha256)) {
                return Optional.of(ClientAccountId.of(e.getKey()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the model that a name refers to for an account.
     *
     * @param account the account
     * @param name {@code model@version}, or the model alone for the latest version that the account may use
     * @return the model, or empty if the account may not use it
     */
    public Optional<ModelVersion> entitledModel(ClientAccountId account, String name) {
        AccountSetting setting = accounts.get(account.value());
        if (setting == null) {
            return Optional.empty();
        }
        ModelVersion latest = null;
        for (ModelVersion m : setting.models()) {
            if (m.toString().equals(name)) {
                return Optional.of(m);
            }
            if (m.model().equals(name)) {
                latest = latest == null || m.compareTo(latest) > 0 ? m : latest;
            }
        }
        return Optional.ofNullable(latest);
    }

    /**
     * Returns whether an operator has excluded an instance from new work.
     *
     * @param instance the instance
     * @return whether it is drained
     */
    public boolean isDrained(InstanceId instance) {
        return drained.contains(instance.value());
    }
}
