package org.baobabspindle.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;

/**
 * Quarantines requests that crash servers. Counts the crashes under each request over all of its attempts and all
 * entries, because it is not known which of the many requests of a server caused its crash. Two crashes quarantine a
 * request for a short time and three for a long time; a complete answer shows that a request is harmless.
 */
public final class RequestQuarantine {
    /**
     * The crashes that quarantine a request, for a short time only: another request of the same servers may be the
     * cause.
     */
    public static final int QUARANTINE_CRASHES = 2;

    /** The crashes that rule out coincidence, unless they happened at about the same time. */
    private static final int CONFIRMING_CRASHES = 3;

    /**
     * Servers of one failure domain that crash within this time count as one crash. A stream may be resumed at another
     * server of a rack that is just losing power, while a request takes longer than this to crash a server by itself.
     */
    private static final Duration SAME_DOMAIN_WINDOW = Duration.ofMillis(100);

    /**
     * Crashes within a shorter time span rule out nothing; a frequent request may be running on many of the servers.
     */
    private static final Duration MIN_CRASH_SPAN = Duration.ofSeconds(1);

    /** The quarantine of a request whose crashes may be a coincidence; longer than a caller waits. */
    private static final Duration SHORT_QUARANTINE = Duration.ofSeconds(30);

    /** How long a crash counts, which is also the quarantine of a request that certainly causes crashes. */
    private static final Duration CRASH_LIFETIME = Duration.ofMinutes(10);

    /** The interval at which one entry retries a request after a short quarantine; by then the outcome is broadcast. */
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(1);

    /**
     * The maximum number of tracked requests; reached only after several hundred servers have crashed in ten minutes.
     */
    private static final int MAX_REQUESTS = 5_000;

    private final Map<RequestFingerprint, History> histories = new LinkedHashMap<>();

    /** Creates a quarantine without crashes. */
    public RequestQuarantine() {}

    private static final class History {
        private final Map<Crash, Moment> crashes = new HashMap<>();
        private Optional<Moment> servedAt = Optional.empty();
        private Optional<Moment> lastTrialAt = Optional.empty();

        private boolean isRecent(Moment at, Moment now) {
            return now.monotonicMillisSince(at) < CRASH_LIFETIME.toMillis()
                    && (servedAt.isEmpty() || servedAt.get().isBefore(at));
        }

        /** Returns the times of the crashes that count, in ascending order. */
        private List<Moment> countedCrashes(Moment now) {
            List<Map.Entry<Crash, Moment>> recent = crashes.entrySet().stream()
                    .filter(e -> isRecent(e.getValue(), now))
                    .sorted(Comparator.comparingLong(e -> e.getValue().monotonicNanos()))
                    .toList();
            Map<String, Moment> lastCounted = new HashMap<>();
            List<Moment> result = new ArrayList<>();
            for (Map.Entry<Crash, Moment> e : recent) {
                Moment at = e.getValue();
                String domain = e.getKey().failureDomain();
                Moment before = lastCounted.get(domain);
                if (before == null || at.monotonicMillisSince(before) >= SAME_DOMAIN_WINDOW.toMillis()) {
                    lastCounted.put(domain, at);
                    result.add(at);
                }
            }
            return result;
        }

        private boolean isExpired(Moment now) {
            boolean answerExpired =
                    servedAt.isEmpty() || now.monotonicMillisSince(servedAt.get()) >= CRASH_LIFETIME.toMillis();
            return answerExpired && countedCrashes(now).isEmpty();
        }
    }

    /**
     * Records a crash.
     *
     * @param crash the crash
     * @param at when the server broke the request off
     * @param now the present time
     * @return whether this crash starts the quarantine of the request
     */
    public boolean recordCrash(Crash crash, Moment at, Moment now) {
        boolean before = isQuarantined(crash.request(), now);
        history(crash.request()).crashes.putIfAbsent(crash, at);
        return !before && isQuarantined(crash.request(), now);
    }

    /**
     * Records that a request was answered completely, which shows that it caused no earlier crash.
     *
     * @param request the fingerprint of the request
     * @param at when it was answered
     * @param now the present time
     * @return whether crashes had counted against the request until now
     */
    public boolean recordSuccess(RequestFingerprint request, Moment at, Moment now) {
        if (crashCount(request, now) == 0) {
            return false;
        }
        History h = history(request);
        h.servedAt = h.servedAt.filter(s -> !s.isBefore(at)).or(() -> Optional.of(at));
        return true;
    }

    /**
     * Removes crashes and answers that are too old to count.
     *
     * @param now the present time
     */
    public void expire(Moment now) {
        histories.values().removeIf(h -> h.isExpired(now));
    }

    private History history(RequestFingerprint request) {
        History h = histories.computeIfAbsent(request, r -> new History());
        if (histories.size() > MAX_REQUESTS) {
            histories.remove(histories.keySet().iterator().next());
        }
        return h;
    }

    /**
     * Returns the number of crashes that count against a request.
     *
     * @param request the fingerprint of the request
     * @param now the present time
     * @return the number of crashes
     */
    public int crashCount(RequestFingerprint request, Moment now) {
        History h = histories.get(request);
        return h == null ? 0 : h.countedCrashes(now).size();
    }

    private boolean isQuarantined(RequestFingerprint request, Moment now) {
        return crashCount(request, now) >= QUARANTINE_CRASHES;
    }

    /**
     * Returns the delay after which a quarantined request may be retried.
     *
     * @param request the fingerprint of the request
     * @param unresolved the number of failure domains with a server that broke it off and is not yet known to run or to
     *     have crashed
     * @param retriesHere whether this entry is the one that retries the request after a short quarantine
     * @param now the present time
     * @return the delay; empty if the request may be sent to a server now
     */
    public Optional<Duration> quarantinedFor(
            RequestFingerprint request, int unresolved, BooleanSupplier retriesHere, Moment now) {
        History h = histories.get(request);
        List<Moment> crashes = h == null ? List.of() : h.countedCrashes(now);
        if (crashes.size() + unresolved < QUARANTINE_CRASHES) {
            return Optional.empty();
        }
        if (unresolved > 0) {
            return Optional.of(TRIAL_INTERVAL);
        }
        Moment last = crashes.get(crashes.size() - 1);
        long span = last.monotonicMillisSince(crashes.get(0));
        boolean certain = crashes.size() >= CONFIRMING_CRASHES && span >= MIN_CRASH_SPAN.toMillis();
        long left = (certain ? CRASH_LIFETIME : SHORT_QUARANTINE).toMillis() - now.monotonicMillisSince(last);
        long untilTrial = h.lastTrialAt
                .map(t -> TRIAL_INTERVAL.toMillis() - now.monotonicMillisSince(t))
                .orElse(0L);
        long wait = left > 0 ? left : retriesHere.getAsBoolean() ? untilTrial : TRIAL_INTERVAL.toMillis();
        return wait > 0 ? Optional.of(Duration.ofMillis(wait)) : Optional.empty();
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param request the fingerprint of the request
     * @param now the present time
     */
    public void recordAttempt(RequestFingerprint request, Moment now) {
        if (crashCount(request, now) >= QUARANTINE_CRASHES) {
            histories.get(request).lastTrialAt = Optional.of(now);
        }
    }

    /**
     * Returns the crashes of the quarantined requests.
     *
     * @param now the present time
     * @return the crashes and when each happened
     */
    public Map<Crash, Moment> quarantinedCrashes(Moment now) {
        Map<Crash, Moment> result = new LinkedHashMap<>();
        for (History h : histories.values()) {
            if (h.crashes.size() >= QUARANTINE_CRASHES && h.countedCrashes(now).size() >= QUARANTINE_CRASHES) {
                h.crashes.forEach((crash, at) -> {
                    if (h.isRecent(at, now)) {
                        result.put(crash, at);
                    }
                });
            }
        }
        return result;
    }

    /**
     * Returns a digest that is equal for two objects that quarantine the same requests because of the same crashes, and
     * almost certainly different otherwise.
     *
     * @param now the present time
     * @return the digest; 0 if no request is quarantined
     */
    public long digest(Moment now) {
        return quarantinedCrashes(now).keySet().stream()
                .mapToLong(RequestQuarantine::hash)
                .sum();
    }

    private static long hash(Crash c) {
        long text = 31L * c.request().hashCode() + c.server().id().hashCode();
        return (text ^ c.server().bornMillis()) * 0x9E3779B97F4A7C15L;
    }

    /**
     * Returns whether no request is tracked.
     *
     * @return whether there is no history of a request
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }
}
