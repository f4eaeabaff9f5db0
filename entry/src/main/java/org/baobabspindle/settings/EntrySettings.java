package org.baobabspindle.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * The validated settings of an entry.
 *
 * @param instance the name of the instance
 * @param host the IP address to listen on
 * @param port the TCP port for callers and operators
 * @param peerPort the TCP port for other entries
 * @param zone the availability zone
 * @param region the region
 * @param logUrl the base URL of the log service
 * @param instanceListUrl the base URL of the instance list
 * @param peerSecret the shared secret by which entries authenticate to each other
 * @param operatorTokenSha256 the SHA-256 hash of the operators' bearer token, in hexadecimal digits
 * @param freshnessMillis how long a response of the log or of another entry proves freshness, in milliseconds
 * @param addressLifetimeMillis how long callers may cache a list of addresses, in milliseconds
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxRunningPerGroup the maximum number of concurrent requests per group
 * @param maxKeys the maximum number of retained idempotency keys
 * @param maxAnswerBytes the maximum size of all answers retained for resent requests, in bytes
 * @param snapshotRecords the number of records after which a snapshot is appended
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

    /** Sets defaults for missing optional fields and validates all fields. */
    public EntrySettings {
        freshnessMillis = freshnessMillis == null ? 4_000 : freshnessMillis;
        addressLifetimeMillis = addressLifetimeMillis == null ? 10_000 : addressLifetimeMillis;
        maxBodyBytes = maxBodyBytes == null ? 1_048_576 : maxBodyBytes;
        maxRunningPerGroup = maxRunningPerGroup == null ? 32 : maxRunningPerGroup;
        maxKeys = maxKeys == null ? 50_000 : maxKeys;
        maxAnswerBytes = maxAnswerBytes == null ? 16_777_216L : maxAnswerBytes;
        snapshotRecords = snapshotRecords == null ? 2_000 : snapshotRecords;
        FieldChecks.name("instance", instance);
        FieldChecks.ipAddress("host", host);
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
     * Returns how long a response of the log or of another entry proves freshness.
     *
     * @return the limit
     */
    public Duration freshnessLimit() {
        return Duration.ofMillis(freshnessMillis);
    }
}
