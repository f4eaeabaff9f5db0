package org.baobabspindle.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/** The crashes that one possible cause may have brought about, and its last complete answer. */
final class CauseHistory {
    /** How long a crash counts. */
    static final Duration CRASH_LIFETIME = Duration.ofMinutes(10);

    /**
     * Servers of one failure domain that crash within this time count as one crash. A stream may be resumed at another
     * server of a rack that is just losing power, while a request takes longer than this to crash a server by itself.
     */
    private static final Duration SAME_DOMAIN_WINDOW = Duration.ofMillis(100);

    private final Map<Crash, Moment> crashes = new HashMap<>();
    private Optional<Moment> servedAt;
    private Optional<Moment> lastTrialAt = Optional.empty();
    private boolean proofShared;

    CauseHistory(Optional<Moment> servedAt) {
        this.servedAt = servedAt;
    }

    void crashed(Crash crash, Moment at) {
        crashes.putIfAbsent(crash, at);
    }

    /** Records a complete answer that all entries know or are told of. */
    void served(Moment at) {
        proofShared = true;
        servedAt = Optional.of(servedAt.map(s -> ServedParts.later(s, at)).orElse(at));
    }

    void tried(Moment at) {
        lastTrialAt = Optional.of(at);
    }

    Optional<Moment> servedAt() {
        return servedAt;
    }

    /** Returns the last answer if only this entry may know of it, and counts it as shared from now on. */
    Optional<Moment> takeUnsharedAnswer() {
        Optional<Moment> unshared = proofShared ? Optional.empty() : servedAt;
        proofShared = true;
        return unshared;
    }

    Optional<Moment> lastTrialAt() {
        return lastTrialAt;
    }

    /** Returns the crashes that count, because they are recent and no answer came after them. */
    Map<Crash, Moment> recentCrashes(Moment now) {
        Map<Crash, Moment> recent = new LinkedHashMap<>();
        crashes.entrySet().stream()
                .filter(e -> isRecent(e.getValue(), now))
                .sorted(Comparator.comparingLong(e -> e.getValue().monotonicNanos()))
                .forEach(e -> recent.put(e.getKey(), e.getValue()));
        return recent;
    }

    private boolean isRecent(Moment at, Moment now) {
        return now.monotonicMillisSince(at) < CRASH_LIFETIME.toMillis()
                && (servedAt.isEmpty() || servedAt.get().isBefore(at));
    }

    /** Returns the servers of the crashes that count. */
    Set<BackendServer.Lifetime> crashedServers(Moment now) {
        return recentCrashes(now).keySet().stream().map(Crash::server).collect(Collectors.toSet());
    }

    /**
     * Returns the times of the crashes that count, in ascending order.
     *
     * @param excused servers whose crashes have another cause
     */
    List<Moment> countedCrashes(Set<BackendServer.Lifetime> excused, Moment now) {
        Map<String, Moment> lastCounted = new HashMap<>();
        List<Moment> result = new ArrayList<>();
        recentCrashes(now).forEach((crash, at) -> {
            if (excused.contains(crash.server())) {
                return;
            }
            Moment before = lastCounted.get(crash.failureDomain());
            if (before == null || at.monotonicMillisSince(before) >= SAME_DOMAIN_WINDOW.toMillis()) {
                lastCounted.put(crash.failureDomain(), at);
                result.add(at);
            }
        });
        return result;
    }

    boolean isExpired(Moment now) {
        boolean answerExpired =
                servedAt.isEmpty() || now.monotonicMillisSince(servedAt.get()) >= CRASH_LIFETIME.toMillis();
        return answerExpired && recentCrashes(now).isEmpty();
    }
}
