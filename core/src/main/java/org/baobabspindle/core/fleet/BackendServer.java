package org.baobabspindle.core.fleet;

import java.util.Optional;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;

/**
 * A backend server as its last registration describes it.
 *
 * @param id its identifier
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone its availability zone
 * @param state whether it accepts new requests
 * @param slots the maximum number of requests it runs concurrently
 * @param bornMillis the time it started, in Unix milliseconds; later after a restart with the same identifier
 * @param domain its fabric domain; empty for a server of a plain service
 * @param model the model of the last group it was a member of since it started; empty if there was none
 * @param staged the model whose weights are staged on its host; empty if there is none
 * @param group its membership in a group; empty if it is unassigned
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
    /** Validates the service, host and port. */
    public BackendServer {
        Checks.identifier("service", service);
        Checks.identifier("host", host);
        Checks.port("port", port);
    }

    /**
     * Returns whether this backend server accepts new requests.
     *
     * @return whether its state is {@link ServerState#READY}
     */
    public boolean ready() {
        return state == ServerState.READY;
    }

    /**
     * Returns a copy of this backend server with another last model.
     *
     * @param other the model
     * @return the copy
     */
    public BackendServer withModel(Optional<String> other) {
        return new BackendServer(id, service, host, port, zone, state, slots, bornMillis, domain, other, staged, group);
    }

    /**
     * Returns a copy of this backend server that accepts no new requests.
     *
     * @return the copy
     */
    public BackendServer draining() {
        return new BackendServer(
                id, service, host, port, zone, ServerState.DRAINING, slots, bornMillis, domain, model, staged, group);
    }

    /**
     * Returns the failure domain, whose servers may all fail at the same time.
     *
     * @return the fabric domain, or the identifier of this server if it has no fabric domain and so fails independently
     */
    public String failureDomain() {
        return domain.map(FabricDomain::value).orElse(id.value());
    }

    /**
     * Returns the lifetime, which a restart ends even if the identifier stays the same.
     *
     * @return the identifier and the start time
     */
    public Lifetime lifetime() {
        return new Lifetime(id, bornMillis);
    }

    /**
     * A backend server lifetime: one run of a backend server, which ends when the server terminates or restarts.
     *
     * @param id the identifier of the backend server
     * @param bornMillis the time it started, in Unix milliseconds
     */
    public record Lifetime(InstanceId id, long bornMillis) {
        private static final char SEPARATOR = '/';

        /**
         * Parses the text form {@code id/millis}.
         *
         * @param text the text form
         * @return the lifetime
         * @throws IllegalArgumentException if the text does not have this form
         */
        public static Lifetime parse(String text) {
            int separator = text.lastIndexOf(SEPARATOR);
            Checks.require(separator > 0, "backend server lifetime must have the form id/millis but was " + text);
            return new Lifetime(
                    InstanceId.of(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
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
