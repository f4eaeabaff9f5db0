package org.baobabspindle.core.fleet;

import java.util.Optional;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;

/**
 * What a backend server has last said of itself.
 *
 * @param id its id
 * @param service the service it belongs to
 * @param host its IP number
 * @param port its TCP port
 * @param zone its availability zone
 * @param state whether it takes new work
 * @param slots the requests it runs at the same time
 * @param bornMillis when it started, in Unix milliseconds; a restart under the same id has a later one
 * @param domain its fabric domain; empty for plain services
 * @param model the model of its last group since its start
 * @param staged the model whose weights its host holds
 * @param group its place in a group
 */
public record BackendServer(
        InstanceId id,
        String service,
        String host,
        int port,
        AvailabilityZone zone,
        ServerState state,
        int slots,
        long bornMillis,
        Optional<FabricDomain> domain,
        Optional<String> model,
        Optional<String> staged,
        Optional<GroupMembership> group) {
    /** Checks the address. */
    public BackendServer {
        Checks.identifier("service", service);
        Checks.identifier("host", host);
        Checks.require(port > 0 && port < 65_536, "port must be 1 to 65535 but was " + port);
    }

    /**
     * Tells whether it takes new work.
     *
     * @return whether it does
     */
    public boolean ready() {
        return state == ServerState.READY;
    }

    /**
     * Returns this backend server with another last model.
     *
     * @param other the model
     * @return the backend server
     */
    public BackendServer withModel(Optional<String> other) {
        return new BackendServer(id, service, host, port, zone, state, slots, bornMillis, domain, other, staged, group);
    }

    /**
     * Returns this backend server as one that takes no new work.
     *
     * @return the backend server
     */
    public BackendServer draining() {
        return new BackendServer(
                id, service, host, port, zone, ServerState.DRAINING, slots, bornMillis, domain, model, staged, group);
    }

    /**
     * Returns what may take this backend server and others down at once.
     *
     * @return its fabric domain; a server without one fails alone
     */
    public String failureDomain() {
        return domain.map(FabricDomain::value).orElse(id.value());
    }

    /**
     * Returns the lifetime, which ends with a restart also where the id stays.
     *
     * @return the id and the start
     */
    public Lifetime lifetime() {
        return new Lifetime(id, bornMillis);
    }

    /**
     * One life of a backend server.
     *
     * @param id its id
     * @param bornMillis its start, in Unix milliseconds
     */
    public record Lifetime(InstanceId id, long bornMillis) {
        private static final char SEPARATOR = '/';

        /**
         * Reads the text form {@code id/millis}.
         *
         * @param text the text form
         * @return the life
         * @throws IllegalArgumentException if the text has another form
         */
        public static Lifetime parse(String text) {
            int at = text.lastIndexOf(SEPARATOR);
            Checks.require(at > 0, "a life of a server must read id/millis but was " + text);
            return new Lifetime(InstanceId.of(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
        }

        /**
         * Returns the text form {@code id/millis}.
         *
         * @return the text form
         */
        public String format() {
            return id.value() + SEPARATOR + bornMillis;
        }
    }
}
