package org.baobabspindle.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.baobabspindle.core.crash.CrashCause;
import org.baobabspindle.core.group.Lifecycle;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;

/**
 * The messages that entries exchange. The names of the types are metric labels, and the names of their components are on
 * the wire.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k", defaultImpl = PeerMessage.Unknown.class)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "c"),
    @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "p"),
    @JsonSubTypes.Type(value = PeerMessage.VersionAsk.class, name = "v"),
    @JsonSubTypes.Type(value = PeerMessage.VersionAnswer.class, name = "V"),
    @JsonSubTypes.Type(value = PeerMessage.GroupsAsk.class, name = "g"),
    @JsonSubTypes.Type(value = PeerMessage.GroupsAnswer.class, name = "G"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardAsk.class, name = "f"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardAnswer.class, name = "F"),
    @JsonSubTypes.Type(value = PeerMessage.TokensAsk.class, name = "t"),
    @JsonSubTypes.Type(value = PeerMessage.TokensAnswer.class, name = "T"),
    @JsonSubTypes.Type(value = PeerMessage.PulseAsk.class, name = "l"),
    @JsonSubTypes.Type(value = PeerMessage.PulseAnswer.class, name = "L"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationAsk.class, name = "n"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationAnswer.class, name = "N"),
    @JsonSubTypes.Type(value = PeerMessage.EnginesSuspected.class, name = "s"),
    @JsonSubTypes.Type(value = PeerMessage.Noted.class, name = "S"),
    @JsonSubTypes.Type(value = PeerMessage.CrashesTold.class, name = "k"),
    @JsonSubTypes.Type(value = PeerMessage.CrashesAsk.class, name = "d"),
    @JsonSubTypes.Type(value = PeerMessage.CrashesAnswer.class, name = "D"),
    @JsonSubTypes.Type(value = PeerMessage.ServersAsk.class, name = "b"),
    @JsonSubTypes.Type(value = PeerMessage.ServersAnswer.class, name = "B"),
    @JsonSubTypes.Type(value = PeerMessage.FeedAsk.class, name = "e"),
    @JsonSubTypes.Type(value = PeerMessage.FeedAnswer.class, name = "E"),
    @JsonSubTypes.Type(value = PeerMessage.LogReadAsk.class, name = "r"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "x")
})
public sealed interface PeerMessage {
    /**
     * The first message on a connection, sent by the side that accepted it.
     *
     * @param nonce random bytes in hexadecimal digits, new for each connection
     */
    record Challenge(String nonce) implements PeerMessage {}

    /**
     * The reply to a challenge, by which the side that opened the connection authenticates.
     *
     * @param from the entry that opened the connection
     * @param mac the HMAC of the nonce and the entry's id under the shared secret, in hexadecimal digits
     */
    record Proof(Incarnation from, String mac) implements PeerMessage {}

    /**
     * Requests the versions that another entry has replayed.
     *
     * @param region the region whose membership version is wanted
     */
    record VersionAsk(Region region) implements PeerMessage {}

    /**
     * The versions that an entry had replayed when it replied.
     *
     * @param from the entry
     * @param configuration its configuration version
     * @param membership its membership version of the requested region
     */
    record VersionAnswer(Incarnation from, ConfigurationVersion configuration, long membership)
            implements PeerMessage {}

    /**
     * Requests the state of groups from their keeper.
     *
     * @param groups the groups
     */
    record GroupsAsk(List<GroupId> groups) implements PeerMessage {}

    /**
     * The state of a group in a keeper's reply.
     *
     * @param group the group
     * @param lifecycle the lifecycle state
     * @param ageMillis the age of the oldest member confirmation when the reply was sent, counted from the time at which the
     *     confirmation was requested, in milliseconds
     * @param running the number of requests that it is running
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record GroupDigest(GroupId group, Lifecycle lifecycle, long ageMillis, int running) {}

    /**
     * The states of those requested groups whose keeper the entry is.
     *
     * @param digests the states
     */
    record GroupsAnswer(List<GroupDigest> digests) implements PeerMessage {}

    /**
     * Forwards a caller's request to the only entry that may run it.
     *
     * @param account the client account
     * @param key the idempotency key
     * @param method the HTTP method
     * @param path the path
     * @param contentType the media type of the body
     * @param body the body
     * @param deadlineMillis the time left until the deadline, in milliseconds
     */
    record ForwardAsk(
            ClientAccountId account,
            String key,
            String method,
            String path,
            String contentType,
            String body,
            long deadlineMillis)
            implements PeerMessage {}

    /**
     * The complete response to a forwarded request.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the body
     * @param retryAfterSeconds the delay after which the caller may retry, in seconds; 0 if none is given
     */
    record ForwardAnswer(int status, String contentType, String body, long retryAfterSeconds) implements PeerMessage {}

    /**
     * Requests rate limit tokens from the entry that allocates those of a client account.
     *
     * @param account the client account
     * @param wanted the number of tokens requested
     */
    record TokensAsk(ClientAccountId account, int wanted) implements PeerMessage {}

    /**
     * Grants rate limit tokens.
     *
     * @param granted the number of tokens granted
     */
    record TokensAnswer(int granted) implements PeerMessage {}

    /**
     * The state that a gateway exchanges with the others.
     *
     * @param ready whether it accepts requests of callers
     * @param version the version of its configuration; -1 if it has none
     * @param versionAgeMillis the time since that version was last confirmed to be the newest, in milliseconds; negative if
     *     never
     * @param loads the number of its outstanding requests by target
     * @param demand the number of slots that its requests would occupy, by model
     * @param staging the models that engines stage on its orders, by engine id and start time as {@code id/millis}
     * @param leaving the backend servers that it has observed to be leaving, by id and start time as {@code id/millis}
     * @param follows whether it reads the list of backend servers from the store and serves it to other entries
     * @param limits what backend servers stated about the rate of requests that they accept; not written if empty, so that
     *     entries of earlier releases can read the state
     * @param turnedAway the digest of the requests that it quarantines because they crash backend servers; 0 if none
     * @param partitioned whether it is partitioned from the backend servers; null, and not written, in the state for an entry
     *     that cannot read it
     * @param evacuations the evacuated availability zones that it knows; null, and not written, if none were ever evacuated
     * @param storeAgeMillis the age of its last answered reads of the store, in milliseconds, if it reads the store on behalf
     *     of other entries; -1 if it does not, but serves what it has read from others; null, and not written, in a small
     *     fleet and by earlier releases
     * @param cold what servers that are or were cold a short time ago stated; null or absent if there is none
     * @param unread the prompt tokens of its requests whose first event has not arrived, by target; null, and not written,
     *     if it does not place requests by them and in the state for an entry of an earlier release
     * @param headroom the part of its capacity that is free, from 0 to 1; null, and not written, if its capacity is not known
     */
    record Pulse(
            boolean ready,
            long version,
            long versionAgeMillis,
            Map<String, Integer> loads,
            Map<String, Double> demand,
            Map<String, String> staging,
            List<String> leaving,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RateLimitNotice> limits,
            boolean follows,
            long turnedAway,
            @JsonInclude(JsonInclude.Include.NON_NULL) Boolean partitioned,
            @JsonInclude(JsonInclude.Include.NON_NULL) EvacuationNotice evacuations,
            @JsonInclude(JsonInclude.Include.NON_NULL) Long storeAgeMillis,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ColdNotice> cold,
            @JsonInclude(JsonInclude.Include.NON_NULL) Map<String, Long> unread,
            @JsonInclude(JsonInclude.Include.NON_NULL) Double headroom) {
        /** Copies the collections; absent ones are empty, except the prompt tokens. */
        public Pulse {
            unread = unread == null ? null : Map.copyOf(unread);
            loads = loads == null ? Map.of() : Map.copyOf(loads);
            demand = demand == null ? Map.of() : Map.copyOf(demand);
            staging = staging == null ? Map.of() : Map.copyOf(staging);
            leaving = leaving == null ? List.of() : List.copyOf(leaving);
            limits = limits == null ? List.of() : List.copyOf(limits);
            cold = cold == null ? List.of() : List.copyOf(cold);
        }

        /**
         * Creates a state without the fields that later releases have added.
         *
         * @param ready see {@link Pulse}
         * @param version see {@link Pulse}
         * @param versionAgeMillis see {@link Pulse}
         * @param loads see {@link Pulse}
         * @param demand see {@link Pulse}
         * @param staging see {@link Pulse}
         * @param leaving see {@link Pulse}
         * @param limits see {@link Pulse}
         * @param follows see {@link Pulse}
         * @param turnedAway see {@link Pulse}
         * @param partitioned see {@link Pulse}
         */
        public Pulse(
                boolean ready,
                long version,
                long versionAgeMillis,
                Map<String, Integer> loads,
                Map<String, Double> demand,
                Map<String, String> staging,
                List<String> leaving,
                List<RateLimitNotice> limits,
                boolean follows,
                long turnedAway,
                Boolean partitioned) {
            this(
                    ready,
                    version,
                    versionAgeMillis,
                    loads,
                    demand,
                    staging,
                    leaving,
                    limits,
                    follows,
                    turnedAway,
                    partitioned,
                    null,
                    null,
                    List.of(),
                    null,
                    null);
        }

        /**
         * Returns whether the gateway says that it is partitioned from the backend servers.
         *
         * @return whether it is partitioned; false if the state does not tell
         */
        public boolean statesPartition() {
            return Boolean.TRUE.equals(partitioned);
        }

        /**
         * Returns the protocol that a receiver must have to read this state.
         *
         * @return the lowest such protocol
         */
        public PeerProtocol requiredProtocol() {
            boolean extended = evacuations != null || storeAgeMillis != null || !cold.isEmpty();
            if (extended || unread != null || headroom != null) {
                return PeerProtocol.EXTENSIBLE;
            }
            if (partitioned != null) {
                return PeerProtocol.PARTITIONS;
            }
            return limits.isEmpty() ? PeerProtocol.BASE : PeerProtocol.RATE_LIMITS;
        }

        /**
         * Returns this state as a receiver can read it. For one that cannot read that a gateway is partitioned, such a
         * gateway is not ready, so that it gets no further callers.
         *
         * @param receiver the protocol of the receiver
         * @return the state without the fields that the receiver does not know
         */
        public Pulse readableBy(PeerProtocol receiver) {
            boolean readsPartition = receiver.includes(PeerProtocol.PARTITIONS);
            return new Pulse(
                    ready && (readsPartition || !statesPartition()),
                    version,
                    versionAgeMillis,
                    loads,
                    demand,
                    staging,
                    leaving,
                    receiver.includes(PeerProtocol.RATE_LIMITS) ? limits : List.of(),
                    follows,
                    turnedAway,
                    readsPartition ? partitioned : null,
                    receiver.includes(PeerProtocol.EXTENSIBLE) ? evacuations : null,
                    receiver.includes(PeerProtocol.EXTENSIBLE) ? storeAgeMillis : null,
                    receiver.includes(PeerProtocol.EXTENSIBLE) ? cold : List.of(),
                    receiver.includes(PeerProtocol.EXTENSIBLE) ? unread : null,
                    receiver.includes(PeerProtocol.EXTENSIBLE) ? headroom : null);
        }
    }

    /**
     * The availability zones that the operator has evacuated.
     *
     * @param era the era of the store
     * @param offset the position in the feed of the configuration as of which this is the state
     * @param zones the zones
     * @param ageMillis the time since this was last known to be the newest state, in milliseconds; negative
     *     if it is not known
     */
    record EvacuationNotice(long era, long offset, List<String> zones, long ageMillis) {
        /** Copies the zones; absent ones are empty. */
        public EvacuationNotice {
            zones = zones == null ? List.of() : List.copyOf(zones);
        }
    }

    /**
     * What the last known response of a backend server stated about the rate of requests that it accepts.
     *
     * @param server its id and start time as {@code id/millis}
     * @param perSecond the requests per second from all entries together; null if it stated no limit any more
     * @param ageMillis the time since the response was received, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RateLimitNotice(String server, Double perSecond, long ageMillis) {
        /** Validates the server, rate and age. */
        public RateLimitNotice {
            Checks.identifier("server", server);
            Checks.require(perSecond == null || perSecond >= 0, "rate must not be negative but was " + perSecond);
            Checks.require(ageMillis >= 0, "age must not be negative but was " + ageMillis);
        }

        /**
         * Returns the limit.
         *
         * @return the requests per second; empty if there is no limit
         */
        public OptionalDouble limit() {
            return perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        }
    }

    /**
     * What the last known response of a backend server stated about the time for which it stays cold.
     *
     * @param server its id and start time as {@code id/millis}
     * @param leftMillis the time for which it stayed cold when the response was received; 0 if it was not cold
     * @param ageMillis the time since the response was received, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ColdNotice(String server, long leftMillis, long ageMillis) {
        /** Validates the server and the times. */
        public ColdNotice {
            Checks.identifier("server", server);
            Checks.require(leftMillis >= 0, "time must not be negative but was " + leftMillis);
            Checks.require(ageMillis >= 0, "age must not be negative but was " + ageMillis);
        }
    }

    /**
     * Sends the state of a gateway and requests that of the receiver.
     *
     * @param from the gateway that sends the message
     * @param pulse its state
     */
    record PulseAsk(Incarnation from, Pulse pulse) implements PeerMessage {}

    /**
     * The reply to {@link PulseAsk} with the state of the gateway that sends it.
     *
     * @param pulse its state
     */
    record PulseAnswer(Pulse pulse) implements PeerMessage {}

    /**
     * Requests the configuration as it was read from the store.
     *
     * @param held the digest of the content that the sender holds, which reads long contents; null, and not written, for an
     *     entry of a release that does not know the field
     */
    record ConfigurationAsk(@JsonInclude(JsonInclude.Include.NON_NULL) String held) implements PeerMessage {}

    /**
     * The configuration as it was read from the store.
     *
     * @param key the key of the record
     * @param text the content of the record; empty if it is in {@code content}
     * @param content the content of the record if it is long; null, and not written, if it is in {@code text}
     */
    record ConfigurationAnswer(String key, String text, @JsonInclude(JsonInclude.Include.NON_NULL) LongContent content)
            implements PeerMessage {}

    /**
     * A long content of a record, for an entry that has stated what it holds.
     *
     * @param index the position of the record in the message
     * @param digest the SHA-256 hash of the content, in hexadecimal digits
     * @param compressed the content in the zlib format; null, and not written, if the receiver holds it
     */
    record LongContent(int index, String digest, @JsonInclude(JsonInclude.Include.NON_NULL) ByteBuffer compressed) {
        /** Rejects an absent digest. */
        public LongContent {
            Checks.require(digest != null, "digest must not be null");
        }
    }

    /**
     * Requests the records of backend servers from a position in the store on.
     *
     * @param era the era of the store in which the position is valid; null if the sender cannot read eras
     * @param from the position of the first record
     */
    record ServersAsk(Long era, long from) implements PeerMessage {}

    /**
     * A record as it was read from the store.
     *
     * @param key its key
     * @param content its bytes, each as the character with the same code (ISO 8859-1); null if the key was removed
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StoreRecord(String key, String content) {}

    /**
     * The records of backend servers from the requested position on.
     *
     * @param records the records in the order of the store
     * @param era the era of the store in which the position is valid
     * @param next the position after the last record
     */
    record ServersAnswer(List<StoreRecord> records, long era, long next) implements PeerMessage {
        /** Copies the records; absent ones are empty. */
        public ServersAnswer {
            records = records == null ? List.of() : List.copyOf(records);
        }
    }

    /**
     * Requests the records of a feed of the store from a position on.
     *
     * @param feed the name of the feed
     * @param era the era of the store in which the position is valid
     * @param from the position of the first record
     * @param held the digest of a content that the sender holds, which reads long contents; empty if it holds none; null in
     *     requests of earlier releases
     */
    record FeedAsk(String feed, long era, long from, String held) implements PeerMessage {}

    /**
     * The records of a feed of the store from the requested position on.
     *
     * @param records the records in the order of the store
     * @param era the era of the store in which the position is valid
     * @param next the position after the last record
     * @param ageMillis the time since the store was asked and had no records after these, in milliseconds; null if more
     *     records are available at once
     * @param longContents the contents that are empty in {@code records} because they are long; only for a sender that has
     *     stated what it holds
     */
    record FeedAnswer(
            List<StoreRecord> records,
            long era,
            long next,
            Long ageMillis,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<LongContent> longContents)
            implements PeerMessage {
        /** Copies the records and contents; absent ones are empty. */
        public FeedAnswer {
            records = records == null ? List.of() : List.copyOf(records);
            longContents = longContents == null ? List.of() : List.copyOf(longContents);
            Checks.require(ageMillis == null || ageMillis >= 0, "age must not be negative but was " + ageMillis);
        }
    }

    /**
     * Reports engines that do not respond to a gateway.
     *
     * @param by the gateway that reports them
     * @param engines the ids of the engines
     */
    record EnginesSuspected(InstanceId by, List<InstanceId> engines) implements PeerMessage {}

    /**
     * An observation about what may crash backend servers, a request or a prompt part: a crash, or a complete response.
     *
     * @param cause the request or prompt part
     * @param server the backend server that crashed while it ran the request, by id and start time as {@code id/millis}; empty if
     *     a complete response was received
     * @param failureDomain the failure domain of that server, whose servers may fail together
     * @param ageMillis the time from the observation to this message, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record CrashNotice(CrashCause cause, String server, String failureDomain, long ageMillis) {
        /** Rejects absent components. */
        public CrashNotice {
            Checks.require(cause != null, "cause must not be null");
            Checks.require(server != null && failureDomain != null, "server and failure domain must not be null");
        }
    }

    /**
     * Broadcasts new observations of a gateway about requests that may crash backend servers.
     *
     * @param notices the observations
     */
    record CrashesTold(List<CrashNotice> notices) implements PeerMessage {
        /** Copies the notices; absent ones are empty. */
        public CrashesTold {
            notices = notices == null ? List.of() : List.copyOf(notices);
        }
    }

    /** Requests the crashes of the requests that a gateway quarantines. */
    record CrashesAsk() implements PeerMessage {}

    /**
     * The crashes of the requests that a gateway quarantines.
     *
     * @param notices the crashes
     */
    record CrashesAnswer(List<CrashNotice> notices) implements PeerMessage {
        /** Copies the notices; absent ones are empty. */
        public CrashesAnswer {
            notices = notices == null ? List.of() : List.copyOf(notices);
        }
    }

    /**
     * Requests that an entry read the log immediately.
     *
     * @param upTo the offset that it should reach before it replies
     */
    record LogReadAsk(LogOffset upTo) implements PeerMessage {}

    /** Confirms that a message was received. */
    record Noted() implements PeerMessage {}

    /**
     * The reply to a request that failed.
     *
     * @param reason the reason for the failure
     */
    record Failed(String reason) implements PeerMessage {}

    /** A message of a type that this release does not know; it is received but never sent. */
    record Unknown() implements PeerMessage {}
}
