package org.baobabspindle.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.group.Lifecycle;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.id.RequestFingerprint;

/** What entries say to each other. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
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
    @JsonSubTypes.Type(value = PeerMessage.LogReadAsk.class, name = "r"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "x")
})
public sealed interface PeerMessage {
    /**
     * The first message of the side that accepted a connection.
     *
     * @param nonce random bytes in hexadecimal digits
     */
    record Challenge(String nonce) implements PeerMessage {}

    /**
     * The first message of the side that opened a connection.
     *
     * @param from the entry that opened it
     * @param mac the HMAC of the challenge and the entry's name under the shared secret
     */
    record Proof(Incarnation from, String mac) implements PeerMessage {}

    /**
     * Asks how far the other entry has replayed.
     *
     * @param region the region whose membership version is wanted
     */
    record VersionAsk(Region region) implements PeerMessage {}

    /**
     * Tells how far an entry had replayed when it answered.
     *
     * @param from the entry
     * @param configuration its configuration version
     * @param membership its membership version of the region asked for
     */
    record VersionAnswer(Incarnation from, ConfigurationVersion configuration, long membership)
            implements PeerMessage {}

    /**
     * Asks a keeper for the state of groups.
     *
     * @param groups the groups
     */
    record GroupsAsk(List<GroupId> groups) implements PeerMessage {}

    /**
     * The state of a group in a keeper's answer.
     *
     * @param group the group
     * @param lifecycle its state
     * @param ageMillis how long before the answer the oldest confirmation of a member was asked for, in milliseconds
     * @param running the requests it is running
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record GroupDigest(GroupId group, Lifecycle lifecycle, long ageMillis, int running) {}

    /**
     * Tells the state of those groups asked for that the entry keeps.
     *
     * @param digests the states
     */
    record GroupsAnswer(List<GroupDigest> digests) implements PeerMessage {}

    /**
     * Hands a request to the only entry that may run it.
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
     * The whole answer to a request that was handed over.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the body
     * @param retryAfterSeconds when to come back, 0 if not stated
     */
    record ForwardAnswer(int status, String contentType, String body, long retryAfterSeconds) implements PeerMessage {}

    /**
     * Asks the home of a client account for request tokens.
     *
     * @param account the client account
     * @param wanted the tokens wanted
     */
    record TokensAsk(ClientAccountId account, int wanted) implements PeerMessage {}

    /**
     * Grants request tokens.
     *
     * @param granted the tokens granted
     */
    record TokensAnswer(int granted) implements PeerMessage {}

    /**
     * The state of a gateway.
     *
     * @param ready whether it takes requests of callers
     * @param version the version of its configuration; -1 if it has none
     * @param versionAgeMillis how long before this message that version was proven to be the newest; negative if never
     * @param loads its outstanding requests by target
     * @param demand the slots that its requests would fill, by model
     * @param staging the models that engines stage on its orders, by engine and start as {@code id/millis}
     * @param leaving the backend servers that it has seen leave, as {@code id/millis}
     * @param follows whether it follows the list of backend servers in the store and passes it on
     * @param turnedAway the digest of the requests that it turns away because they crash backend servers
     */
    record Pulse(
            boolean ready,
            long version,
            long versionAgeMillis,
            Map<String, Integer> loads,
            Map<String, Double> demand,
            Map<String, String> staging,
            List<String> leaving,
            boolean follows,
            long turnedAway) {
        /** Copies the counts. */
        public Pulse {
            loads = loads == null ? Map.of() : Map.copyOf(loads);
            demand = demand == null ? Map.of() : Map.copyOf(demand);
            staging = staging == null ? Map.of() : Map.copyOf(staging);
            leaving = leaving == null ? List.of() : List.copyOf(leaving);
        }
    }

    /**
     * Tells the state of a gateway and asks for that of another.
     *
     * @param from the gateway that asks
     * @param pulse its state
     */
    record PulseAsk(Incarnation from, Pulse pulse) implements PeerMessage {}

    /**
     * Tells the state of a gateway.
     *
     * @param pulse its state
     */
    record PulseAnswer(Pulse pulse) implements PeerMessage {}

    /** Asks for the configuration as it was read from the store. */
    record ConfigurationAsk() implements PeerMessage {}

    /**
     * The configuration as it was read from the store.
     *
     * @param key the key of the record
     * @param text the content of the record
     */
    record ConfigurationAnswer(String key, String text) implements PeerMessage {}

    /**
     * Asks for the records of backend servers that follow a position in the store.
     *
     * @param from the position
     */
    record ServersAsk(long from) implements PeerMessage {}

    /**
     * A record as it was read from the store.
     *
     * @param key its key
     * @param content its bytes, each as the character of the same number; null if the key was removed
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StoreRecord(String key, String content) {}

    /**
     * The records of backend servers that follow a position.
     *
     * @param records the records in their order
     * @param next the position after them
     */
    record ServersAnswer(List<StoreRecord> records, long next) implements PeerMessage {
        /** Copies the records. */
        public ServersAnswer {
            records = records == null ? List.of() : List.copyOf(records);
        }
    }

    /**
     * Tells that engines do not answer this gateway.
     *
     * @param by the gateway
     * @param engines the ids of the engines
     */
    record EnginesSuspected(InstanceId by, List<InstanceId> engines) implements PeerMessage {}

    /**
     * Something that was noticed of a request.
     *
     * @param request the fingerprint of the request
     * @param server the backend server that ended while it ran the request, as {@code id/millis}; empty if the request was answered
     *     whole
     * @param failureDomain what may take that server and others down at once
     * @param ageMillis how long before this message that was noticed, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record CrashNotice(RequestFingerprint request, String server, String failureDomain, long ageMillis) {
        /** Checks the parts. */
        public CrashNotice {
            Checks.require(request != null, "request must be given");
            Checks.require(server != null && failureDomain != null, "server and failure domain must be given");
        }
    }

    /**
     * Tells what a gateway has just noticed of requests that may crash backend servers.
     *
     * @param notices what was noticed
     */
    record CrashesTold(List<CrashNotice> notices) implements PeerMessage {
        /** Copies the notices. */
        public CrashesTold {
            notices = notices == null ? List.of() : List.copyOf(notices);
        }
    }

    /** Asks for the crashes of the requests that a gateway turns away. */
    record CrashesAsk() implements PeerMessage {}

    /**
     * The crashes of the requests that a gateway turns away.
     *
     * @param notices the crashes
     */
    record CrashesAnswer(List<CrashNotice> notices) implements PeerMessage {
        /** Copies the notices. */
        public CrashesAnswer {
            notices = notices == null ? List.of() : List.copyOf(notices);
        }
    }

    /**
     * Asks an entry to read the log at once.
     *
     * @param upTo the offset to reach before the answer
     */
    record LogReadAsk(LogOffset upTo) implements PeerMessage {}

    /** Says that a message has been taken over. */
    record Noted() implements PeerMessage {}

    /**
     * Tells that a question could not be answered.
     *
     * @param reason why
     */
    record Failed(String reason) implements PeerMessage {}
}
