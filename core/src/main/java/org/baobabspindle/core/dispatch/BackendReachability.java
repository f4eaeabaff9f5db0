package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * Detects that an entry is partitioned from all backend servers, as opposed to failures of single servers.
 *
 * <p>Two kinds of evidence are tracked independently. The entry is <em>isolated</em> if it receives nothing from any
 * server although several of them were sending, or although several of them have failed; any received byte ends this. It
 * is <em>disconnected</em> if new connections fail at several servers, whether or not existing ones go on; any new
 * connection ends this.
 *
 * <p>Servers of one failure domain may fail together, so that evidence from a single domain is conclusive only if probes
 * of servers in other domains fail as well, or if there are no others. In any case, servers that have not failed get
 * {@link #CONFIRMATION_TIME} to answer a probe.
 *
 * <p>Silence is measured in observed time: each tick counts for at most {@link #MAX_OBSERVED_PER_TICK}, so that a pause
 * of the process is not mistaken for silence of the servers.
 */
public final class BackendReachability {
    /** The observed time that one tick accounts for at most; the interval of the ticks. */
    static final Duration MAX_OBSERVED_PER_TICK = Duration.ofMillis(50);

    /** The observed time without reception, or without a new connection, after which evidence is conclusive. */
    static final Duration CONFIRMATION_TIME = MAX_OBSERVED_PER_TICK.multipliedBy(2);

    /** The observed time without reception after which a request in progress alone is a reason to probe. */
    static final Duration IDLE_TIME = MAX_OBSERVED_PER_TICK.multipliedBy(5);

    /** How long a failure counts unless something is received before. */
    static final Duration FAILURE_LIFETIME = Duration.ofSeconds(1);

    /** The servers that must be silent or fail at the same time. */
    private static final int MIN_SERVERS = 3;

    /** The servers that must fail if the entry knows no more. */
    private static final int MIN_KNOWN_SERVERS = 2;

    /** The servers outside the domain with the most evidence that must be silent or fail as well, if there are as many. */
    private static final int MIN_OTHER_DOMAIN_SERVERS = 2;

    /** The servers that are probed at a time. */
    private static final int PROBES = 3;

    /** The observed time after which the result of a probe is not awaited any more: its timeout and one tick. */
    private static final Duration PROBE_LIFETIME = MAX_OBSERVED_PER_TICK.multipliedBy(5);

    private static final Duration SUSPICION_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final Duration PARTITION_PROBE_INTERVAL = Duration.ofMillis(250);
    private static final Duration IDLE_PROBE_INTERVAL = Duration.ofMillis(500);

    private final Map<InstanceId, Activity> activities = new HashMap<>();
    private final Map<InstanceId, Failure> failures = new HashMap<>();
    private final Map<InstanceId, Moment> connectFailures = new HashMap<>();

    /** The failure domains of servers; a server without an entry fails independently of all others. */
    private final Map<InstanceId, String> domains = new HashMap<>();

    /** The probes without a result, by the observed time at which they were sent. */
    private final Map<InstanceId, Duration> probes = new HashMap<>();

    private final Suspicion isolation = new Suspicion();
    private final Suspicion disconnection = new Suspicion();
    private List<InstanceId> listed = List.of();
    private Duration observedTime = Duration.ZERO;
    private Optional<Moment> lastTick = Optional.empty();
    private Optional<Moment> lastReceived = Optional.empty();
    private Optional<Moment> lastConnected = Optional.empty();
    private Optional<Moment> lastProbe = Optional.empty();
    private long tickCount;
    private int nextProbe;
    private boolean receivedSinceTick;
    private Duration silence = Duration.ZERO;
    private Duration withoutConnection = Duration.ZERO;
    private boolean isolated;
    private boolean disconnected;

    /** Creates a detector that knows no servers. */
    public BackendReachability() {}

    private record Failure(Moment at, long tick) {}

    private static final class Activity {
        /** The ticks of which the history tells. */
        private static final int HISTORY_TICKS = 4;

        /** The ticks of the history in which a server must have been heard from to count as sending. */
        private static final int MIN_SENDING_TICKS = 3;

        private int outstanding;
        private boolean receivedSinceTick;
        private Optional<Moment> lastReceived = Optional.empty();

        /** One bit for each tick in which any server was heard from, the latest one lowest; set if this one was. */
        private int history;

        void endTick() {
            history = (history << 1 | (receivedSinceTick ? 1 : 0)) & ((1 << HISTORY_TICKS) - 1);
            receivedSinceTick = false;
        }

        boolean sending() {
            return outstanding > 0 && Integer.bitCount(history) >= MIN_SENDING_TICKS;
        }
    }

    /** Evidence that is sufficient, but may yet be refuted by the answer to a probe. */
    private static final class Suspicion {
        private Duration age = Duration.ZERO;

        /** Whether servers were probed since the evidence became sufficient. */
        private boolean probed;

        void endTick(boolean sufficient, Duration observed) {
            age = sufficient ? age.plus(observed) : Duration.ZERO;
            probed &= sufficient;
        }

        void recordProbe() {
            probed = !age.isZero();
        }

        boolean isUnprobed() {
            return !age.isZero() && !probed;
        }
    }

    private Activity activity(InstanceId server) {
        return activities.computeIfAbsent(server, s -> new Activity());
    }

    /**
     * Sets the backend servers that are listed, each of which fails independently of the others.
     *
     * @param servers the servers, which are probed in this order
     */
    public void setServers(List<InstanceId> servers) {
        setServers(servers, Map.of());
    }

    /**
     * Sets the backend servers that are listed.
     *
     * @param servers the servers, which are probed in this order
     * @param failureDomains the failure domains of servers, listed or not; a server that is absent fails independently
     */
    public void setServers(List<InstanceId> servers, Map<InstanceId, String> failureDomains) {
        listed = List.copyOf(servers);
        Set<InstanceId> retained = new HashSet<>(listed);
        activities.entrySet().removeIf(e -> !retained.contains(e.getKey()) && e.getValue().outstanding <= 0);
        retained.addAll(activities.keySet());
        domains.keySet().retainAll(retained);
        domains.putAll(failureDomains);
    }

    private String domain(InstanceId server) {
        return domains.getOrDefault(server, server.value());
    }

    /**
     * Records that a request was sent to a server.
     *
     * @param server the server
     */
    public void requestSent(InstanceId server) {
        activity(server).outstanding++;
    }

    /**
     * Records that bytes were received from a server.
     *
     * @param server the server
     * @param now the present time
     */
    public void received(InstanceId server, Moment now) {
        probes.remove(server);
        Activity a = activity(server);
        a.receivedSinceTick = true;
        a.lastReceived = Optional.of(now);
        receivedSinceTick = true;
        lastReceived = Optional.of(now);
        silence = Duration.ZERO;
        if (isolated) {
            isolated = false;
            // Connections failed for the same reason, which has ended.
            connected(now);
        }
    }

    /**
     * Records that a request to a server has ended, for whatever reason.
     *
     * @param server the server
     */
    public void ended(InstanceId server) {
        Activity a = activity(server);
        a.outstanding--;
        if (a.outstanding <= 0) {
            a.history = 0;
        }
    }

    /**
     * Records that a connection to a server was reset, or that a probe was not answered. Failures of servers that are not
     * listed do not count, since those have terminated.
     *
     * @param server the server
     * @param since when the attempt began that has failed; it does not count if any server was heard from later
     * @param now the present time
     */
    public void failed(InstanceId server, Moment since, Moment now) {
        probes.remove(server);
        if (listed.contains(server) && !isAfter(lastReceived, since)) {
            failures.put(server, new Failure(now, tickCount));
        }
    }

    /**
     * Records that a new connection to a server could not be established.
     *
     * @param server the server
     * @param since when the attempt began that has failed; it does not count if a later one succeeded
     * @param now the present time
     */
    public void connectFailed(InstanceId server, Moment since, Moment now) {
        failed(server, since, now);
        if (listed.contains(server) && !isAfter(lastConnected, since)) {
            connectFailures.put(server, now);
        }
    }

    /**
     * Records that a probe on a new connection was not answered. The server may be busy, but during a partition this shows
     * that new connections still fail. This holds as well if connections fail at enough servers, all of one domain.
     *
     * @param server the server
     * @param since when the probe was sent
     * @param now the present time
     */
    public void probeUnanswered(InstanceId server, Moment since, Moment now) {
        Set<InstanceId> failing = connectFailures.keySet();
        boolean oneDomain = failing.size() >= requiredFailures() && !exceedsOneDomain(failing);
        if (state() == Reachability.PARTITIONED || oneDomain) {
            connectFailed(server, since, now);
        } else {
            failed(server, since, now);
        }
    }

    private static boolean isAfter(Optional<Moment> event, Moment start) {
        return event.filter(start::isBefore).isPresent();
    }

    /**
     * Records that a new connection to any server was established.
     *
     * @param now the present time
     */
    public void connected(Moment now) {
        lastConnected = Optional.of(now);
        connectFailures.clear();
        withoutConnection = Duration.ZERO;
        disconnected = false;
    }

    /**
     * Evaluates the evidence; called periodically.
     *
     * @param now the present time
     */
    public void tick(Moment now) {
        Duration observed = lastTick.map(now::since).orElse(Duration.ZERO);
        if (observed.compareTo(MAX_OBSERVED_PER_TICK) > 0) {
            observed = MAX_OBSERVED_PER_TICK;
        }
        lastTick = Optional.of(now);
        observedTime = observedTime.plus(observed);
        probes.values().removeIf(at -> observedTime.minus(at).compareTo(PROBE_LIFETIME) > 0);
        failures.values().removeIf(f -> isExpired(f.at(), now));
        connectFailures.values().removeIf(at -> isExpired(at, now));
        if (receivedSinceTick) {
            // The order of a failure and a reception within one tick is not significant: both may have waited for a
            // thread.
            failures.values().removeIf(f -> f.tick() < tickCount);
            activities.values().forEach(Activity::endTick);
            receivedSinceTick = false;
        } else {
            silence = anyOutstanding() || !failures.isEmpty() ? silence.plus(observed) : Duration.ZERO;
        }
        withoutConnection = connectFailures.isEmpty() ? Duration.ZERO : withoutConnection.plus(observed);
        tickCount++;
        Set<InstanceId> suspects = suspects();
        isolation.endTick(!silence.isZero() && isSufficient(suspects), observed);
        isolated |= isConclusive(silence) && isConfirmed(isolation, suspects);
        Set<InstanceId> unconnected = connectFailures.keySet();
        disconnection.endTick(isSufficient(unconnected), observed);
        disconnected = isConclusive(withoutConnection) && (disconnected || isConfirmed(disconnection, unconnected));
    }

    /** Returns the servers that have failed, and those that were sending if nothing is received from any. */
    private Set<InstanceId> suspects() {
        Set<InstanceId> result = new HashSet<>(failures.keySet());
        if (!silence.isZero() && enoughSenders()) {
            activities.forEach((s, a) -> {
                if (a.sending()) {
                    result.add(s);
                }
            });
        }
        return result;
    }

    private boolean isSufficient(Set<InstanceId> suspects) {
        return suspects.size() >= requiredFailures() && exceedsOneDomain(suspects);
    }

    /** Returns whether the loss of a single failure domain does not explain the evidence, or there is no other domain. */
    private boolean exceedsOneDomain(Set<InstanceId> suspects) {
        return mostSuspected(suspects).filter(d -> !explains(d, suspects)).isPresent();
    }

    private Optional<String> mostSuspected(Set<InstanceId> suspects) {
        Map<String, Integer> counts = new HashMap<>();
        suspects.forEach(s -> counts.merge(domain(s), 1, Integer::sum));
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }

    /** Returns whether the loss of a failure domain explains the evidence, except for coincidences. */
    private boolean explains(String lost, Set<InstanceId> suspects) {
        long elsewhere = suspects.stream().filter(s -> !domain(s).equals(lost)).count();
        long listedElsewhere =
                listed.stream().filter(s -> !domain(s).equals(lost)).count();
        return elsewhere < Math.min(MIN_OTHER_DOMAIN_SERVERS, listedElsewhere);
    }

    /**
     * Returns the failure domain whose loss explains that enough servers for a partition are silent or have failed.
     *
     * @return the domain; empty if there is not enough evidence, or if it goes beyond one domain
     */
    public Optional<String> suspectedDomain() {
        Set<InstanceId> suspects = suspects();
        suspects.addAll(connectFailures.keySet());
        return suspects.size() < requiredFailures()
                ? Optional.empty()
                : mostSuspected(suspects).filter(d -> explains(d, suspects));
    }

    /**
     * Returns whether evidence was sufficient for long enough. A server that is no part of it, if one was probed, must have
     * had the time to answer.
     */
    private boolean isConfirmed(Suspicion suspicion, Set<InstanceId> suspects) {
        if (suspicion.age.isZero()) {
            return false;
        }
        return probes.entrySet().stream()
                .filter(e -> !suspects.contains(e.getKey()))
                .map(e -> observedTime.minus(e.getValue()))
                .max(Duration::compareTo)
                .map(BackendReachability::isConclusive)
                .orElseGet(() -> isConclusive(suspicion.age));
    }

    private static boolean isExpired(Moment failedAt, Moment now) {
        return now.since(failedAt).compareTo(FAILURE_LIFETIME) >= 0;
    }

    private static boolean isConclusive(Duration observed) {
        return observed.compareTo(CONFIRMATION_TIME) >= 0;
    }

    private boolean anyOutstanding() {
        return activities.values().stream().anyMatch(a -> a.outstanding > 0);
    }

    private boolean enoughSenders() {
        return activities.values().stream().filter(Activity::sending).count() >= MIN_SERVERS;
    }

    private int requiredFailures() {
        return Math.min(MIN_SERVERS, Math.max(MIN_KNOWN_SERVERS, listed.size()));
    }

    /**
     * Returns whether the entry reaches the backend servers.
     *
     * @return the state
     */
    public Reachability state() {
        return isolated || disconnected ? Reachability.PARTITIONED : Reachability.REACHABLE;
    }

    /**
     * Returns whether a server other than some was heard from. Silence of a server is evidence about that server only if
     * another one was heard from meanwhile.
     *
     * @param since the time at which the silence began
     * @param except the servers that do not count
     * @return whether another server was heard from at that time or later
     */
    public boolean heardFromOthersSince(Moment since, Set<InstanceId> except) {
        return activities.entrySet().stream()
                .anyMatch(e -> !except.contains(e.getKey())
                        && e.getValue()
                                .lastReceived
                                .filter(at -> !at.isBefore(since))
                                .isPresent());
    }

    /**
     * Returns whether any server was heard from within an observed time, as far as servers were expected to send. After a
     * pause of the process, bytes may have arrived that were not read yet.
     *
     * @param observed the observed time
     * @return whether the silence is shorter
     */
    public boolean heardWithin(Duration observed) {
        return silence.compareTo(observed) < 0;
    }

    /**
     * Returns whether a server was heard from.
     *
     * @param server the server
     * @param since the start of the time that counts
     * @return whether it was heard from at that time or later
     */
    public boolean heardFromSince(InstanceId server, Moment since) {
        Activity a = activities.get(server);
        return a != null && a.lastReceived.filter(at -> !at.isBefore(since)).isPresent();
    }

    /**
     * Returns whether servers other than one have recently failed too, without any sign of reachability since. A request
     * that could not be sent to that server is likely to fail at other ones then.
     *
     * @param server the server that does not count
     * @return whether another one has failed
     */
    public boolean othersFail(InstanceId server) {
        boolean silent = !receivedSinceTick && failures.keySet().stream().anyMatch(s -> !s.equals(server));
        return silent || connectFailures.keySet().stream().anyMatch(s -> !s.equals(server));
    }

    /**
     * Returns the servers to probe now, with new connections: a few in turn while the entry is partitioned, or when there
     * is evidence that it might be. Servers of failure domains without evidence come first, then others that have not
     * failed.
     *
     * @param now the present time
     * @return the servers; empty if no probe is due
     */
    public List<InstanceId> serversToProbe(Moment now) {
        if (!isProbeDue(now)) {
            return List.of();
        }
        lastProbe = Optional.of(now);
        isolation.recordProbe();
        disconnection.recordProbe();
        List<InstanceId> chosen = chooseProbes();
        nextProbe += PROBES;
        chosen.forEach(s -> probes.putIfAbsent(s, observedTime));
        return chosen;
    }

    private boolean isProbeDue(Moment now) {
        Optional<Duration> interval = probeInterval();
        if (interval.isEmpty()) {
            return false;
        }
        boolean unconfirmed =
                state() == Reachability.REACHABLE && (isolation.isUnprobed() || disconnection.isUnprobed());
        return unconfirmed
                || lastProbe
                        .filter(at -> now.since(at).compareTo(interval.get()) < 0)
                        .isEmpty();
    }

    private List<InstanceId> chooseProbes() {
        Set<InstanceId> suspects = suspects();
        suspects.addAll(connectFailures.keySet());
        Set<String> suspectDomains = new HashSet<>();
        suspects.forEach(s -> suspectDomains.add(domain(s)));
        Set<String> chosenDomains = new HashSet<>(suspectDomains);
        Predicate<InstanceId> unasked = s -> !suspects.contains(s) && !probes.containsKey(s);
        List<InstanceId> chosen = new ArrayList<>();
        choose(chosen, s -> unasked.test(s) && chosenDomains.add(domain(s)));
        choose(chosen, s -> unasked.test(s) && !suspectDomains.contains(domain(s)));
        choose(chosen, unasked);
        choose(chosen, s -> true);
        return chosen;
    }

    /** Adds servers that meet a condition, in turn, as long as fewer than {@link #PROBES} are chosen. */
    private void choose(List<InstanceId> chosen, Predicate<InstanceId> condition) {
        for (int i = 0; i < listed.size() && chosen.size() < PROBES; i++) {
            InstanceId s = listed.get(Math.floorMod(nextProbe + i, listed.size()));
            if (!chosen.contains(s) && condition.test(s)) {
                chosen.add(s);
            }
        }
    }

    private boolean anyProbeUnanswered() {
        return probes.values().stream().anyMatch(at -> isConclusive(observedTime.minus(at)));
    }

    private Optional<Duration> probeInterval() {
        if (state() == Reachability.PARTITIONED) {
            return Optional.of(PARTITION_PROBE_INTERVAL);
        }
        boolean silent = !silence.isZero() && (enoughSenders() || !failures.isEmpty() || anyProbeUnanswered());
        if (silent || !connectFailures.isEmpty()) {
            return Optional.of(SUSPICION_PROBE_INTERVAL);
        }
        long waiting =
                activities.values().stream().filter(a -> a.outstanding > 0).count();
        Duration idleTime = waiting >= MIN_SERVERS ? CONFIRMATION_TIME : IDLE_TIME;
        boolean idle = waiting > 0 && silence.compareTo(idleTime) >= 0;
        return idle ? Optional.of(IDLE_PROBE_INTERVAL) : Optional.empty();
    }

    /**
     * Returns the evidence in numbers, for logs.
     *
     * @return the evidence
     */
    public Evidence evidence() {
        Set<InstanceId> failing = new HashSet<>(failures.keySet());
        failing.addAll(connectFailures.keySet());
        long failedDomains = failing.stream().map(this::domain).distinct().count();
        return new Evidence(failing.size(), (int) failedDomains, silence, isolated, disconnected);
    }

    /**
     * The evidence for the state.
     *
     * @param failedServers the number of servers that have recently failed
     * @param failedDomains the number of their failure domains
     * @param silence the observed time for which nothing was received from any server
     * @param isolated whether nothing is received from any server
     * @param disconnected whether new connections fail
     */
    public record Evidence(
            int failedServers, int failedDomains, Duration silence, boolean isolated, boolean disconnected) {}
}
