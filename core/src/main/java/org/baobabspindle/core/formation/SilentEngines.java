package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.time.Moment;

/**
 * Tracks the probes of suspected engines. An engine that has ended counts as lost at once. A silent one counts as lost
 * once it has not answered two probes over a probe interval while reference engines answered, or else if it does not answer for
 * longer than a sound engine may be silent. Only time that this entry has observed counts: after a pause of this process,
 * probes may time out before answers that have arrived are read. An engine has at most one round in flight, which is
 * identified by the time at which it was sent.
 */
public final class SilentEngines {
    /** The observed time after the first unanswered probe during which a silent engine does not count as lost. */
    public static final Duration TOLERANCE = Duration.ofMillis(1_200);

    /** The time between two probes of a silent engine. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    /**
     * The time within which a reference engine must answer. If it takes longer, this entry or the engines are slow, and the
     * silence of one shows nothing.
     */
    static final Duration MAX_REFERENCE_DELAY = Duration.ofMillis(100);

    /** The longest round in which silence shows anything; both probes of the first round time out sooner. */
    static final Duration MAX_ROUND = Duration.ofMillis(500);

    /** The observed time that one tick accounts for at most; ticks come more often unless this entry is paused. */
    private static final Duration MAX_OBSERVED_PER_TICK = PROBE_INTERVAL;

    /** The other domains of which engines must answer if none of the silent engine's own domain does. */
    private static final int MIN_OTHER_DOMAINS = 2;

    private final Map<BackendServer.Lifetime, Probe> probes = new HashMap<>();
    private final Map<BackendServer.Lifetime, Answer> answers = new HashMap<>();
    private Optional<Moment> lastTick = Optional.empty();

    /** Creates a table without engines. */
    public SilentEngines() {}

    /**
     * The latest round of probes of an engine.
     *
     * @param silentSince when the first unanswered round was sent, later by the time that was not observed since
     * @param sentAt when this round was sent
     * @param endedAt when its result was known, if it is
     */
    private record Probe(Optional<Moment> silentSince, Moment sentAt, Optional<Moment> endedAt) {
        boolean inFlight() {
            return endedAt.isEmpty();
        }

        boolean repeatableAt(Moment now) {
            boolean due = !now.isBefore(sentAt.plus(PROBE_INTERVAL)) || toleranceExceededAt(now);
            return !inFlight() && due;
        }

        Probe ended(Moment at) {
            return new Probe(silentSince.or(() -> Optional.of(sentAt)), sentAt, Optional.of(at));
        }

        /** The result shows nothing, so that the round does not count. */
        Probe endedUnobserved(Moment at) {
            return new Probe(later(between(sentAt, at)), sentAt, Optional.of(at));
        }

        /** A pause during a round shows in the duration of the round. */
        Probe ticked(Moment last, Moment now) {
            if (inFlight()) {
                return this;
            }
            Moment from = last.isBefore(endedAt.get()) ? endedAt.get() : last;
            Duration unobserved = between(from, now).minus(MAX_OBSERVED_PER_TICK);
            return unobserved.isNegative() ? this : new Probe(later(unobserved), sentAt, endedAt);
        }

        private Optional<Moment> later(Duration time) {
            return silentSince.map(since -> since.plus(time));
        }

        private static Duration between(Moment from, Moment until) {
            return Duration.ofMillis(until.monotonicMillisSince(from));
        }

        boolean toleranceExceededAt(Moment now) {
            return silentSince
                    .filter(since -> !now.isBefore(since.plus(TOLERANCE)))
                    .isPresent();
        }
    }

    /**
     * The latest answer of a reference engine.
     *
     * @param domain its failure domain
     * @param sentAt when the answered probe was sent
     */
    private record Answer(String domain, Moment sentAt) {}

    /** What the result of a probe shows. */
    public enum Verdict {
        /** The engine is no longer probed, or this is not its latest probe. */
        OBSOLETE,
        /** The engine has answered. */
        RESPONSIVE,
        /** The engine is silent, but may continue. */
        SILENT,
        /** The engine has ended, or it is silent for too long. */
        LOST
    }

    /**
     * Begins to probe an engine unless it is being probed already.
     *
     * @param engine the engine
     * @param now the present time
     * @return whether a probe is to be sent
     */
    public boolean begin(BackendServer.Lifetime engine, Moment now) {
        return probes.putIfAbsent(engine, new Probe(Optional.empty(), now, Optional.empty())) == null;
    }

    /**
     * Begins another probe of a silent engine if that is due.
     *
     * @param engine the engine
     * @param now the present time
     * @return whether a probe is to be sent
     */
    public boolean repeat(BackendServer.Lifetime engine, Moment now) {
        Probe p = probes.get(engine);
        if (p == null || !p.repeatableAt(now)) {
            return false;
        }
        probes.put(engine, new Probe(p.silentSince(), now, Optional.empty()));
        return true;
    }

    /**
     * Records that an engine answered, which shows that the silence of others is not due to this entry, unless the answer
     * took long.
     *
     * @param reference the engine that answered
     * @param sentAt when the answered probe was sent
     * @param now the present time
     */
    public void referenceAnswered(BackendServer reference, Moment sentAt, Moment now) {
        if (now.since(sentAt).compareTo(MAX_REFERENCE_DELAY) > 0) {
            return;
        }
        answers.put(reference.lifetime(), new Answer(reference.failureDomain(), sentAt));
    }

    /**
     * Applies the result of a round of probes, considering the answers of reference engines since it was sent. The
     * first round consists of two probes, one after the other.
     *
     * @param engine the engine
     * @param sentAt when the round began
     * @param result the result
     * @param now when it ended
     * @return what it shows
     */
    public Verdict probed(BackendServer engine, Moment sentAt, Liveness result, Moment now) {
        Moment until = now.isBefore(sentAt) ? sentAt : now;
        Verdict verdict = probed(engine.lifetime(), sentAt, result, until);
        if (verdict != Verdict.SILENT || isSlow(sentAt, until) || !othersAnswered(engine, sentAt)) {
            return verdict;
        }
        Moment since = probes.get(engine.lifetime()).silentSince().orElseThrow();
        if (until.isBefore(since.plus(PROBE_INTERVAL))) {
            return verdict;
        }
        probes.remove(engine.lifetime());
        return Verdict.LOST;
    }

    private static boolean isSlow(Moment sentAt, Moment endedAt) {
        return endedAt.since(sentAt).compareTo(MAX_ROUND) > 0;
    }

    /** Returns whether another engine of the same domain answered, or engines of two other domains. */
    private boolean othersAnswered(BackendServer engine, Moment since) {
        Set<String> domains = new HashSet<>();
        answers.forEach((other, answer) -> {
            if (!other.equals(engine.lifetime()) && !answer.sentAt().isBefore(since)) {
                domains.add(answer.domain());
            }
        });
        return domains.contains(engine.failureDomain()) || domains.size() >= MIN_OTHER_DOMAINS;
    }

    /**
     * Applies the result of a probe that took no time, without regard to reference engines.
     *
     * @param engine the engine
     * @param sentAt when the probe was sent
     * @param result the result
     * @return what it shows
     */
    public Verdict probed(BackendServer.Lifetime engine, Moment sentAt, Liveness result) {
        return probed(engine, sentAt, result, sentAt);
    }

    private Verdict probed(BackendServer.Lifetime engine, Moment sentAt, Liveness result, Moment endedAt) {
        Probe p = probes.get(engine);
        if (p == null || !p.inFlight() || !p.sentAt().equals(sentAt)) {
            return Verdict.OBSOLETE;
        }
        if (result == Liveness.SILENT && isSlow(sentAt, endedAt)) {
            probes.put(engine, p.endedUnobserved(endedAt));
            return Verdict.SILENT;
        }
        if (result == Liveness.SILENT && !p.toleranceExceededAt(sentAt)) {
            probes.put(engine, p.ended(endedAt));
            return Verdict.SILENT;
        }
        probes.remove(engine);
        return result == Liveness.RUNNING ? Verdict.RESPONSIVE : Verdict.LOST;
    }

    /**
     * Records that this entry is running; must be called at short intervals. Time between two calls that is longer than
     * usual is not observed.
     *
     * @param now the present time
     */
    public void tick(Moment now) {
        lastTick.ifPresent(last -> probes.replaceAll((engine, probe) -> probe.ticked(last, now)));
        lastTick = Optional.of(now);
    }

    /**
     * Stops to probe an engine.
     *
     * @param engine the engine
     */
    public void remove(BackendServer.Lifetime engine) {
        probes.remove(engine);
    }

    /**
     * Stops to probe engines that are not listed.
     *
     * @param listed the engines that are listed
     */
    public void retain(Set<BackendServer.Lifetime> listed) {
        probes.keySet().retainAll(listed);
        answers.keySet().retainAll(listed);
    }

    /** Stops to probe any engine. */
    public void clear() {
        probes.clear();
        answers.clear();
    }
}
