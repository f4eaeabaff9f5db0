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
 * The crashes under each request, over all of its attempts and all entries. Answers a request that ends each server that runs it
 * and comes again, whoever of a server's many requests it was: it takes two servers to turn a request away, three to do so for
 * long, and a whole answer shows that a request is sound.
 */
public final class RequestQuarantine {
    /** The crashes after which a request is turned away for a while; others were running beside it each time. */
    public static final int QUARANTINE_CRASHES = 2;

    /** The crashes after which chance is ruled out, unless they came together. */
    private static final int CERTAIN_CRASHES = 3;

    /**
     * Servers of one failure domain that end within this time count as one crash: a stream may go on at a server of a rack that is
     * just about to lose its power, but takes longer to crash one by itself.
     */
    private static final Duration TOGETHER = Duration.ofMillis(100);

    /** Servers that all end within this time make nothing certain; a hot request may be running at many of them. */
    private static final Duration LEAST_SPAN = Duration.ofSeconds(1);

    /** How long a request is turned away that may have met two crashes by chance; longer than a caller waits. */
    private static final Duration IN_DOUBT = Duration.ofSeconds(30);

    /** How long a crash counts, and how long a request is turned away that is certain to bring them about. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** How often one entry tries a request again that was turned away in doubt; its outcome is known and told by then. */
    private static final Duration TRIAL_PAUSE = Duration.ofSeconds(1);

    /** The requests that are remembered; several hundred servers have ended within the memory by then. */
    private static final int MOST_REQUESTS = 5_000;

    private final Map<RequestFingerprint, History> histories = new LinkedHashMap<>();

    /** Creates a ledger without crashes. */
    public RequestQuarantine() {}

    private static final class History {
        private final Map<Crash, Moment> crashes = new HashMap<>();
        private Optional<Moment> servedAt = Optional.empty();
        private Optional<Moment> triedAt = Optional.empty();

        private boolean recent(Moment at, Moment now) {
            return now.monotonicMillisSince(at) < MEMORY.toMillis()
                    && (servedAt.isEmpty() || servedAt.get().isBefore(at));
        }

        /** Returns the times of the crashes that count, the first first. */
        private List<Moment> counting(Moment now) {
            List<Map.Entry<Crash, Moment>> recent = crashes.entrySet().stream()
                    .filter(e -> recent(e.getValue(), now))
                    .sorted(Comparator.comparingLong(e -> e.getValue().monotonicNanos()))
                    .toList();
            Map<String, Moment> countedIn = new HashMap<>();
            List<Moment> result = new ArrayList<>();
            for (Map.Entry<Crash, Moment> e : recent) {
                Moment at = e.getValue();
                String domain = e.getKey().failureDomain();
                Moment before = countedIn.get(domain);
                if (before == null || at.monotonicMillisSince(before) >= TOGETHER.toMillis()) {
                    countedIn.put(domain, at);
                    result.add(at);
                }
            }
            return result;
        }

        private boolean forgotten(Moment now) {
            boolean servedLongAgo = servedAt.isEmpty() || now.monotonicMillisSince(servedAt.get()) >= MEMORY.toMillis();
            return servedLongAgo && counting(now).isEmpty();
        }
    }

    /**
     * Notes a crash.
     *
     * @param crash the crash
     * @param at when the server broke the request off
     * @param now the present time
     * @return whether the request is turned away from now on and was not before
     */
    public boolean recordCrash(Crash crash, Moment at, Moment now) {
        boolean before = quarantinedCrashes(crash.request(), now);
        history(crash.request()).crashes.putIfAbsent(crash, at);
        return !before && quarantinedCrashes(crash.request(), now);
    }

    /**
     * Notes that a request was answered whole, so that no earlier crash was its doing.
     *
     * @param request the request
     * @param at when it was answered
     * @param now the present time
     * @return whether this was news: crashes had counted until now
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
     * Forgets what is too old to count.
     *
     * @param now the present time
     */
    public void expire(Moment now) {
        histories.values().removeIf(h -> h.forgotten(now));
    }

    private History history(RequestFingerprint request) {
        History h = histories.computeIfAbsent(request, r -> new History());
        if (histories.size() > MOST_REQUESTS) {
            histories.remove(histories.keySet().iterator().next());
        }
        return h;
    }

    /**
     * Returns the crashes that count against a request.
     *
     * @param request the request
     * @param now the present time
     * @return their number
     */
    public int crashCount(RequestFingerprint request, Moment now) {
        History h = histories.get(request);
        return h == null ? 0 : h.counting(now).size();
    }

    private boolean quarantinedCrashes(RequestFingerprint request, Moment now) {
        return crashCount(request, now) >= QUARANTINE_CRASHES;
    }

    /**
     * Tells whether a request is turned away.
     *
     * @param request the request
     * @param unsettled the servers that broke it off and of which it is not known yet whether they have ended
     * @param triesHere whether this entry is the one that tries it again after it was turned away in doubt
     * @param now the present time
     * @return when it may come back; empty if it may be sent to a server
     */
    public Optional<Duration> quarantinedFor(
            RequestFingerprint request, int unsettled, BooleanSupplier triesHere, Moment now) {
        History h = histories.get(request);
        List<Moment> crashes = h == null ? List.of() : h.counting(now);
        if (crashes.size() + unsettled < QUARANTINE_CRASHES) {
            return Optional.empty();
        }
        if (unsettled > 0) {
            return Optional.of(TRIAL_PAUSE);
        }
        Moment last = crashes.get(crashes.size() - 1);
        long span = last.monotonicMillisSince(crashes.get(0));
        boolean certain = crashes.size() >= CERTAIN_CRASHES && span >= LEAST_SPAN.toMillis();
        long left = (certain ? MEMORY : IN_DOUBT).toMillis() - now.monotonicMillisSince(last);
        long untilTrial = h.triedAt
                .map(t -> TRIAL_PAUSE.toMillis() - now.monotonicMillisSince(t))
                .orElse(0L);
        long wait = left > 0 ? left : triesHere.getAsBoolean() ? untilTrial : TRIAL_PAUSE.toMillis();
        return wait > 0 ? Optional.of(Duration.ofMillis(wait)) : Optional.empty();
    }

    /**
     * Notes that a request is sent to a server.
     *
     * @param request the request
     * @param now the present time
     */
    public void recordAttempt(RequestFingerprint request, Moment now) {
        if (crashCount(request, now) >= QUARANTINE_CRASHES) {
            histories.get(request).triedAt = Optional.of(now);
        }
    }

    /**
     * Returns the crashes of the requests that are turned away.
     *
     * @param now the present time
     * @return the crashes and when each happened
     */
    public Map<Crash, Moment> quarantinedCrashes(Moment now) {
        Map<Crash, Moment> result = new LinkedHashMap<>();
        for (History h : histories.values()) {
            if (h.crashes.size() >= QUARANTINE_CRASHES && h.counting(now).size() >= QUARANTINE_CRASHES) {
                h.crashes.forEach((crash, at) -> {
                    if (h.recent(at, now)) {
                        result.put(crash, at);
                    }
                });
            }
        }
        return result;
    }

    /**
     * Returns a number that two ledgers share if they turn the same requests away for the same crashes, and hardly ever otherwise.
     *
     * @param now the present time
     * @return the number; 0 if nothing is turned away
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
     * Tells whether nothing is remembered.
     *
     * @return whether there is no crash
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }
}
