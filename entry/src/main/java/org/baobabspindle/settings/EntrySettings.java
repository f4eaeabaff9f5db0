package org.baobabspindle.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * The settings of an entry, as checked.
 *
 * @param instance the name of the instance
 * @param host the IP number to listen on
 * @param port the TCP port for callers and operators
 * @param peerPort the TCP port for other entries
 * @param zone the availability zone
 * @param region the region
 * @param logUrl the base URL of the log service
 * @param instanceListUrl the base URL of the instance list
 * @param peerSecret what entries prove to each other that they know
 * @param operatorTokenSha256 the SHA-256 of the operators' bearer token
 * @param freshnessMillis how long an answer of the log or of another entry counts, in milliseconds
 * @param addressLifetimeMillis how long callers may keep an answer with addresses, in milliseconds
 * @param maxBodyBytes the largest request body, in bytes
 * @param maxRunningPerGroup the most requests given to a group at once
 * @param maxKeys the most idempotency keys remembered
 * @param maxAnswerBytes the most bytes of answers kept for resent requests
 * @param snapshotRecords the records after which a snapshot is appended
 */
public record EntrySettings(
        @JsonProperty(required = true) String instance,
        @JsonProperty(required = true) String host,
        @JsonProperty(required = true) int port,
        @JsonProperty(required = true) int peerPort,
        @JsonProperty(required = true) String zone,
        @JsonProperty(required = true) String region,
        @JsonProperty(required = true) String logUrl,
        @JsonProperty(required = true) String instanceListUrl,
        @JsonProperty(required = true) String peerSecret,
        @JsonProperty(required = true) String operatorTokenSha256,
        Integer freshnessMillis,
        Integer addressLifetimeMillis,
        Integer maxBodyBytes,
        Integer maxRunningPerGroup,
        Integer maxKeys,
        Long maxAnswerBytes,
        Integer snapshotRecords) {
    private static final int MAX_PORT = 65_535;
    private static final int MIN_SECRET_LENGTH = 16;

    /** Fills in defaults and checks every field. */
    public EntrySettings {
        freshnessMillis = freshnessMillis == null ? 4_000 : freshnessMillis;
        addressLifetimeMillis = addressLifetimeMillis == null ? 10_000 : addressLifetimeMillis;
        maxBodyBytes = maxBodyBytes == null ? 1_048_576 : maxBodyBytes;
        maxRunningPerGroup = maxRunningPerGroup == null ? 32 : maxRunningPerGroup;
        maxKeys = maxKeys == null ? 50_000 : maxKeys;
        maxAnswerBytes = maxAnswerBytes == null ? 16_777_216L : maxAnswerBytes;
        snapshotRecords = snapshotRecords == null ? 2_000 : snapshotRecords;
        FieldChecks.name("instance", instance);
        FieldChecks.ipNumber("host", host);
        FieldChecks.range("port", port, 0, MAX_PORT, "TCP port");
        FieldChecks.range("peerPort", peerPort, 0, MAX_PORT, "TCP port");
        FieldChecks.name("zone", zone);
        FieldChecks.name("region", region);
        FieldChecks.url("logUrl", logUrl);
        FieldChecks.url("instanceListUrl", instanceListUrl);
        FieldChecks.range("peerSecret", peerSecret.length(), MIN_SECRET_LENGTH, 200, "characters");
        FieldChecks.sha256("operatorTokenSha256", operatorTokenSha256);
        FieldChecks.range("freshnessMillis", freshnessMillis, 500, 7_000, "milliseconds");
        FieldChecks.range("addressLifetimeMillis", addressLifetimeMillis, 0, 600_000, "milliseconds");
        FieldChecks.range("maxBodyBytes", maxBodyBytes, 1_024, 67_108_864, "bytes");
        FieldChecks.range("maxRunningPerGroup", maxRunningPerGroup, 1, 10_000, "requests");
        FieldChecks.range("maxKeys", maxKeys, 100, 10_000_000, "keys");
        FieldChecks.range("maxAnswerBytes", maxAnswerBytes, 0, 1_073_741_824, "bytes");
        FieldChecks.range("snapshotRecords", snapshotRecords, 10, 1_000_000, "records");
    }

    /**
     * Returns the freshness bound.
     *
     * @return how long an answer counts
     */
    public Duration freshnessLimit() {
        return Duration.ofMillis(freshnessMillis);
    }
}
