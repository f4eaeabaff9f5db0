package org.baobabspindle.core.crash;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/**
 * Quarantines requests that crash servers. Counts the crashes under each possible cause, a request or a prompt part,
 * over all attempts and all entries, because it is not known which of the many requests of a server caused its crash. A
 * complete answer shows that its request and the parts of its prompt are harmless.
 */
public final class RequestQuarantine {
    /**
     * The crashes that quarantine a request, for a short time only: another request of the same servers may be the
     * cause.
     */
    private static final int REQUEST_CRASHES = 2;

    /** The crashes that quarantine a prompt part without a recent answer; most parts have one. */
    private static final int UNPROVEN_PART_CRASHES = 1;

    /** The crashes that rule out coincidence, unless they happened at about the same time. */
    private static final int CONFIRMING_CRASHES = 3;

    /** How long before its first crash an answer shows that a prompt part was harmless. */
    private static final Duration PART_PROOF_LIFETIME = Duration.ofMinutes(1);

    /**
     * Crashes within a shorter time span rule out nothing; a frequent request may be running on many of the servers.
     */
    private static final Duration MIN_CRASH_SPAN = Duration.ofSeconds(1);

    /** The quarantine of a cause whose crashes may be a coincidence; longer than a caller waits. */
    private static final Duration SHORT_QUARANTINE = Duration.ofSeconds(30);

    /** The interval at which one entry retries a request after a short quarantine; by then the outcome is broadcast. */
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(1);

    /** The maximum number of tracked causes; reached only after several hundred servers have crashed in ten minutes. */
    private static final int MAX_CAUSES = 5_000;

    private final Map<CrashCause, CauseHistory> histories = new LinkedHashMap<>();
    private final ServedParts servedParts = new ServedParts();

    /** Creates a quarantine without crashes. */
    public RequestQuarantine() {}

    /**
     * Records a crash.
     *
     * @param crash the crash
     * @param at when the server broke the request off
     * @param now the present time
     * @return whether this crash starts the quarantine of its cause
     */
    public boolean recordCrash(Crash crash, Moment at, Moment now) {
        boolean before = isBlamed(crash.cause(), now);
        history(crash.cause()).crashed(crash, at);
        return !before && isBlamed(crash.cause(), now);
    }

    /**
     * Records a complete answer, which shows that a cause brought about no earlier crash.
     *
     * @param cause the request that was answered, or a part of its prompt
     * @param at when it was answered
     * @param now the present time
     * @return whether crashes had counted against the cause until now
     */
    public boolean recordSuccess(CrashCause cause, Moment at, Moment now) {
        boolean counted = crashCount(cause, now) > 0;
        if (cause.isPromptPart()) {
            servedParts.record(cause, at);
            Optional.ofNullable(histories.get(cause)).ifPresent(h -> h.served(at));
        } else if (counted) {
            history(cause).served(at);
        }
        return counted;
    }

    /**
     * Removes crashes and answers that are too old to count.
     *
     * @param now the present time
     */
    public void expire(Moment now) {
        histories.values().removeIf(h -> h.isExpired(now));
    }

    private CauseHistory history(CrashCause cause) {
        CauseHistory h = histories.computeIfAbsent(cause, c -> new CauseHistory(servedParts.lastServed(c)));
        if (histories.size() > MAX_CAUSES) {
            histories.remove(histories.keySet().iterator().next());
        }
        return h;
    }

    /**
     * Returns the number of crashes that count against a cause.
     *
     * @param cause the cause
     * @param now the present time
     * @return the number of crashes
     */
    public int crashCount(CrashCause cause, Moment now) {
        return countedCrashes(cause, Set.of(), now).size();
    }

    private List<Moment> countedCrashes(CrashCause cause, Set<BackendServer.Lifetime> excused, Moment now) {
        CauseHistory h = histories.get(cause);
        return h == null ? List.of() : h.countedCrashes(excused, now);
    }

    /**
     * Returns when a prompt part with crashes was last answered before them, for other entries to know; once for each
     * part.
     *
     * @param part the prompt part
     * @param now the present time
     * @return the time of the answer; empty if there is none or the other entries know it
     */
    public Optional<Moment> takeProof(CrashCause part, Moment now) {
        CauseHistory h = histories.get(part);
        return h != null && isProven(part, now) ? h.takeUnsharedAnswer() : Optional.empty();
    }

    /**
     * Returns the times of the last answers of the prompt parts that have crashes and were answered shortly before.
     *
     * @param now the present time
     * @return the parts and the times of their last answers
     */
    public Map<CrashCause, Moment> proofs(Moment now) {
        Map<CrashCause, Moment> result = new LinkedHashMap<>();
        histories.forEach((cause, h) -> {
            if (cause.isPromptPart() && isProven(cause, now)) {
                h.servedAt().ifPresent(at -> result.put(cause, at));
            }
        });
        return result;
    }

    /** Returns whether a cause has enough crashes for a quarantine, if nothing else explains them. */
    private boolean isBlamed(CrashCause cause, Moment now) {
        return crashCount(cause, now) >= requiredCrashes(cause, now);
    }

    private int requiredCrashes(CrashCause cause, Moment now) {
        if (!cause.isPromptPart()) {
            return REQUEST_CRASHES;
        }
        return isProven(cause, now) ? CONFIRMING_CRASHES : UNPROVEN_PART_CRASHES;
    }

    /** Returns whether a prompt part was answered shortly before its first crash, or now if it has none. */
    private boolean isProven(CrashCause part, Moment now) {
        CauseHistory h = histories.get(part);
        Optional<Moment> servedAt = h == null ? servedParts.lastServed(part) : h.servedAt();
        Moment until = countedCrashes(part, Set.of(), now).stream().findFirst().orElse(now);
        return servedAt.filter(at -> until.monotonicMillisSince(at) <= PART_PROOF_LIFETIME.toMillis())
                .isPresent();
    }

    /** How a prompt part that a request does not contain relates to the crashes of a cause in it. */
    private enum Explanation {
        /** It had no part in them, or in some only. */
        NONE,
        /** The same crashes count against both, so that one of them is harmless. */
        SAME_CRASHES,
        /** All of them count against the other part, which has further ones or lacks an answer that this one has. */
        COMPLETE
    }

    /** Returns the blamed prompt parts that a request does not contain. */
    private List<CrashCause> otherBlamedParts(SuspectRequest request, Moment now) {
        List<CrashCause> own = request.causes();
        return histories.keySet().stream()
                .filter(c -> c.isPromptPart() && !own.contains(c) && isBlamed(c, now))
                .toList();
    }

    private Set<BackendServer.Lifetime> crashedServers(CrashCause cause, Moment now) {
        return histories.get(cause).crashedServers(now);
    }

    private Explanation explain(CrashCause part, CrashCause other, Moment now) {
        Set<BackendServer.Lifetime> crashed = crashedServers(part, now);
        Set<BackendServer.Lifetime> otherCrashed = crashedServers(other, now);
        if (!otherCrashed.containsAll(crashed)) {
            return Explanation.NONE;
        }
        boolean likelier = otherCrashed.size() > crashed.size() || (isProven(part, now) && !isProven(other, now));
        return likelier ? Explanation.COMPLETE : Explanation.SAME_CRASHES;
    }

    /**
     * Returns the delay after which a quarantined request may be retried.
     *
     * @param request the request
     * @param unresolved returns the number of failure domains with a server that broke off a request with a cause and is
     *     not yet known to run or to have crashed
     * @param retriesHere returns whether this entry is the one that retries a cause after a short quarantine
     * @param now the present time
     * @return the delay; empty if the request may be sent to a server now
     */
    public Optional<Duration> quarantinedFor(
            SuspectRequest request,
            ToIntFunction<CrashCause> unresolved,
            Predicate<CrashCause> retriesHere,
            Moment now) {
        Duration longest = Duration.ZERO;
        for (CrashCause cause : request.causes()) {
            int pending = unresolved.applyAsInt(cause);
            if (pending == 0 && !histories.containsKey(cause)) {
                continue;
            }
            Duration wait = cause.isPromptPart()
                    ? partQuarantine(cause, request, pending, retriesHere, now)
                    : requestQuarantine(cause, request, pending, retriesHere, now);
            longest = longest.compareTo(wait) < 0 ? wait : longest;
        }
        return longest.isZero() ? Optional.empty() : Optional.of(longest);
    }

    /** A crash has one cause: those that a part with several crashes explains do not count against a request. */
    private Duration requestQuarantine(
            CrashCause cause, SuspectRequest request, int pending, Predicate<CrashCause> retriesHere, Moment now) {
        Set<BackendServer.Lifetime> explained = otherBlamedParts(request, now).stream()
                .map(part -> crashedServers(part, now))
                .filter(servers -> servers.size() >= REQUEST_CRASHES)
                .flatMap(Set::stream)
                .collect(Collectors.toSet());
        List<Moment> crashes = countedCrashes(cause, explained, now);
        if (crashes.size() + pending < REQUEST_CRASHES) {
            return Duration.ZERO;
        }
        return pending > 0 ? TRIAL_INTERVAL : remaining(cause, crashes, retriesHere, now);
    }

    private Duration partQuarantine(
            CrashCause part, SuspectRequest request, int pending, Predicate<CrashCause> retriesHere, Moment now) {
        List<Moment> crashes = countedCrashes(part, Set.of(), now);
        if (crashes.size() + pending < requiredCrashes(part, now)) {
            return Duration.ZERO;
        }
        if (pending > 0) {
            return TRIAL_INTERVAL;
        }
        Explanation explanation = otherBlamedParts(request, now).stream()
                .map(other -> explain(part, other, now))
                .max(Comparator.naturalOrder())
                .orElse(Explanation.NONE);
        return switch (explanation) {
            case COMPLETE -> Duration.ZERO;
            case SAME_CRASHES -> untilTrial(part, retriesHere, now);
            case NONE -> remaining(part, crashes, retriesHere, now);
        };
    }

    private Duration remaining(CrashCause cause, List<Moment> crashes, Predicate<CrashCause> retriesHere, Moment now) {
        Moment last = crashes.get(crashes.size() - 1);
        long span = last.monotonicMillisSince(crashes.get(0));
        boolean certain = crashes.size() >= CONFIRMING_CRASHES && span >= MIN_CRASH_SPAN.toMillis();
        Duration quarantine = certain ? CauseHistory.CRASH_LIFETIME : SHORT_QUARANTINE;
        long left = quarantine.toMillis() - now.monotonicMillisSince(last);
        if (left > 0) {
            return Duration.ofMillis(left);
        }
        return untilTrial(cause, retriesHere, now);
    }

    private Duration untilTrial(CrashCause cause, Predicate<CrashCause> retriesHere, Moment now) {
        if (!retriesHere.test(cause)) {
            return TRIAL_INTERVAL;
        }
        long left = histories
                .get(cause)
                .lastTrialAt()
                .map(t -> TRIAL_INTERVAL.toMillis() - now.monotonicMillisSince(t))
                .orElse(0L);
        return Duration.ofMillis(Math.max(0, left));
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param request the request
     * @param now the present time
     */
    public void recordAttempt(SuspectRequest request, Moment now) {
        for (CrashCause cause : request.causes()) {
            if (isBlamed(cause, now)) {
                histories.get(cause).tried(now);
            }
        }
    }

    /**
     * Returns the crashes of the causes that other entries must know: those of prompt parts, and of requests with
     * enough crashes for a quarantine.
     *
     * @param now the present time
     * @return the crashes and when each happened
     */
    public Map<Crash, Moment> sharedCrashes(Moment now) {
        Map<Crash, Moment> result = new LinkedHashMap<>();
        histories.forEach((cause, h) -> {
            int required = cause.isPromptPart() ? UNPROVEN_PART_CRASHES : REQUEST_CRASHES;
            if (h.countedCrashes(Set.of(), now).size() >= required) {
                result.putAll(h.recentCrashes(now));
            }
        });
        return result;
    }

    /**
     * Returns a digest that is equal for two objects that share the same crashes, and almost certainly different
     * otherwise.
     *
     * @param now the present time
     * @return the digest; 0 if there is nothing to share
     */
    public long digest(Moment now) {
        return sharedCrashes(now).keySet().stream()
                .mapToLong(RequestQuarantine::hash)
                .sum();
    }

    private static long hash(Crash c) {
        long text = 31L * c.cause().value().hashCode() + c.server().id().hashCode();
        return (text ^ c.server().bornMillis()) * 0x9E3779B97F4A7C15L;
    }

    /**
     * Returns whether no cause is tracked.
     *
     * @return whether there is no history of a cause
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }
}
