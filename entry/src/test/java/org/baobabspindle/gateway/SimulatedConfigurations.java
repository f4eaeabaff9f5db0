package org.baobabspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;

/** The versions of a configuration that an operator writes, in simulated time, and what decodes them. */
final class SimulatedConfigurations implements FleetDecoder {
    private static final String KEY = "configuration";

    private final List<Version> versions = new ArrayList<>();
    private int decoded;

    /**
     * A version that was written.
     *
     * @param at when the store has acknowledged it, in milliseconds
     * @param record its record
     */
    record Version(long at, FeedRecord record) {
        int bytes() {
            return record.value().orElseThrow().length;
        }
    }

    /** Writes a version with a number of routes; the number of a version is its position, from 0 on. */
    void write(long at, int routes) {
        SplittableRandom random = new SplittableRandom(versions.size());
        StringBuilder text = new StringBuilder(versions.size() + "\n");
        for (int i = 0; i < routes; i++) {
            SplittableRandom names = new SplittableRandom(i);
            int timeout = 8_000 + (random.nextInt(20) == 0 ? random.nextInt(1_000) : 0);
            text.append(String.format(
                    "{\"name\":\"r-%s\",\"host\":\"%s.example\",\"path_prefix\":\"/%s/\",\"type\":\"stream\","
                            + "\"timeout_ms\":%d,\"target_latency_ms\":401,\"priority\":1,\"service\":\"%s\","
                            + "\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":300}",
                    name(names),
                    name(new SplittableRandom(0)),
                    name(names),
                    timeout,
                    name(new SplittableRandom(i % 3))));
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        versions.add(new Version(at, new FeedRecord(KEY, Optional.of(bytes))));
    }

    private static String name(SplittableRandom random) {
        return Long.toString(random.nextLong(1L << 36), Character.MAX_RADIX);
    }

    List<Version> versions() {
        return versions;
    }

    /** Returns the number of versions that were acknowledged by a time. */
    int count(long millis) {
        return (int) versions.stream().filter(v -> v.at() <= millis).count();
    }

    /** Returns how often a configuration was decoded. */
    int decoded() {
        return decoded;
    }

    @Override
    public Optional<FleetConfiguration> configuration(FeedRecord record) {
        decoded++;
        String text = new String(record.value().orElseThrow(), StandardCharsets.UTF_8);
        long version = Long.parseLong(text.substring(0, text.indexOf('\n')));
        CallerLimits limits = new CallerLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));
        return Optional.of(new FleetConfiguration(version, List.of(), List.of(), Map.of(), true, limits));
    }

    @Override
    public Optional<ServerRegistration> server(FeedRecord record) {
        return Optional.empty();
    }
}
