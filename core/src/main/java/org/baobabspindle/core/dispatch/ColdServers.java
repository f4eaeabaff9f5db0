package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.ColdStart;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.time.Moment;

/**
 * The backend servers that are cold, which handle fewer requests for a short time. What a server states in a response
 * counts; until it states anything, a server that appears, or that returns after an exclusion, is assumed to be cold.
 * Only servers of services with a limit for cold servers are considered. This class is not thread-safe.
 */
public final class ColdServers {
    /** How long a statement is reported to other entries, which may know an older one or assume something else. */
    private static final Duration REPORT_RETENTION = Duration.ofSeconds(10);

    /** The longest time that a server may state; a longer one is taken as this, since it cannot be meant. */
    private static final Duration MAX_LEFT = Duration.ofMinutes(10);

    /**
     * How long ago a server must have started at least if it is in the first list of this entry and is not assumed to be
     * cold, in addition to the time that servers are cold; the clocks of machines may differ by this.
     */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(1);

    /**
     * How much later than another one a statement may be received and still have been sent before it. A statement that
     * shortens a phase counts only if it is later than this.
     */
    private static final Duration MAX_DELAY = Duration.ofMillis(300);

    private final Map<BackendServer.Lifetime, Listed> listed = new HashMap<>();
    private final Map<BackendServer.Lifetime, Phase> phases = new HashMap<>();
    private boolean everListed;

    /** Creates an object that knows no servers. */
    ColdServers() {}

    /**
     * A listed server.
     *
     * @param cold how long its servers are cold
     * @param limit the limit on requests while it is cold
     * @param sequence the number of its record
     * @param left how much longer it stays cold as of its record; empty if the record does not state it
     */
    public record Listed(ColdStart cold, ColdLimit limit, long sequence, Optional<Duration> left) {}

    /**
     * What a response of a server stated.
     *
     * @param left how much longer the server stays cold; zero if it is not cold
     * @param receivedAt when this entry, or the entry that reported it, received the response
     */
    public record Statement(Duration left, Moment receivedAt) {
        /** Validates and limits the time. */
        public Statement {
            Checks.require(!left.isNegative(), "time must not be negative but was " + left);
            left = left.compareTo(MAX_LEFT) > 0 ? MAX_LEFT : left;
        }

        private Moment until() {
            return receivedAt.plus(left);
        }
    }

    /** Why a server counts as cold, or no longer does. */
    public enum Reason {
        /** It appeared in the list. */
        APPEARED("the server appeared in the list"),
        /** Its record in the list states it. */
        RECORD("the record of the server states it"),
        /** One of its responses states it. */
        STATED("a response of the server states it"),
        /** It was excluded because it failed requests. */
        EXCLUDED("the server returns after an exclusion");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Returns the text for log lines.
         *
         * @return the text
         */
        public String text() {
            return text;
        }
    }

    /**
     * A change of a server from warm to cold or back.
     *
     * @param server the server
     * @param reason the source of what is known
     * @param left how much longer it is cold; zero if it is warm again
     */
    public record Change(BackendServer.Lifetime server, Reason reason, Duration left) {}

    /** A time in which a server is or was cold. */
    private static final class Phase {
        private Optional<Statement> statement = Optional.empty();
        private Moment until;
        private Moment untilWithoutExclusion;
        private Moment assumedAt;
        private Reason reason;
        private boolean logged;
        private Optional<RateSharing> sharing = Optional.empty();
        private RequestCredit credit;

        Phase(Moment until, Reason reason, Moment now) {
            this.until = until;
            this.untilWithoutExclusion = reason == Reason.EXCLUDED ? now : until;
            this.assumedAt = now;
            this.reason = reason;
        }

        boolean isCold(Moment now) {
            return now.isBefore(until);
        }

        void update(Moment newUntil, Reason newReason) {
            until = newUntil;
            reason = newReason;
            if (newReason != Reason.EXCLUDED) {
                untilWithoutExclusion = newUntil;
            }
        }
    }

    /**
     * Applies the list of servers.
     *
     * @param servers all listed servers, also those of services without a limit for cold servers
     * @param now the present time
     */
    public void serversListed(Map<BackendServer.Lifetime, Listed> servers, Moment now) {
        servers.forEach((server, s) -> {
            Listed known = listed.get(server);
            if (!s.cold().isLimited()) {
                return;
            }
            if (s.left().isPresent()) {
                if (known == null || known.sequence() != s.sequence()) {
                    recordRead(server, s.left().get(), now);
                }
            } else if (known == null && (everListed || startedRecently(server, s.cold(), now))) {
                assume(server, now.plus(s.cold().time()), Reason.APPEARED, now);
            }
        });
        phases.forEach((server, p) -> {
            if (!limit(servers, server).equals(limit(listed, server))) {
                p.credit = null;
            }
        });
        listed.clear();
        listed.putAll(servers);
        everListed = true;
    }

    private boolean isLimited(BackendServer.Lifetime server) {
        Listed s = listed.get(server);
        return s != null && s.cold().isLimited();
    }

    private static Optional<ColdLimit> limit(
            Map<BackendServer.Lifetime, Listed> servers, BackendServer.Lifetime server) {
        return Optional.ofNullable(servers.get(server)).map(Listed::limit);
    }

    private static boolean startedRecently(BackendServer.Lifetime server, ColdStart cold, Moment now) {
        return now.wallMillis() - server.bornMillis()
                < cold.time().plus(CLOCK_MARGIN).toMillis();
    }

    /**
     * Applies the time that a record states. It is not known when the record was written, so a record never shortens what
     * a response has stated.
     */
    private void recordRead(BackendServer.Lifetime server, Duration left, Moment now) {
        Moment until = now.plus(left.compareTo(MAX_LEFT) > 0 ? MAX_LEFT : left);
        Phase p = phases.get(server);
        if (p != null && p.statement.isEmpty()) {
            p.update(until, Reason.RECORD);
        } else if (!left.isZero()) {
            assume(server, until, Reason.RECORD, now);
        }
    }

    private void assume(BackendServer.Lifetime server, Moment until, Reason reason, Moment now) {
        Phase p = phases.computeIfAbsent(server, s -> new Phase(until, reason, now));
        startAgainIfWarm(p, now);
        p.assumedAt = now;
        if (p.until.isBefore(until)) {
            p.update(until, reason);
        }
    }

    /** Starts a new phase without credit if the last one has ended. */
    private static void startAgainIfWarm(Phase p, Moment now) {
        if (!p.isCold(now)) {
            p.credit = null;
        }
    }

    /**
     * Assumes that a server is cold when it returns after an exclusion, unless it states something by then.
     *
     * @param server the server
     * @param returnsAt the end of the exclusion
     * @param now the present time
     */
    public void excluded(BackendServer.Lifetime server, Moment returnsAt, Moment now) {
        if (isLimited(server)) {
            Listed s = listed.get(server);
            assume(server, returnsAt.plus(s.cold().time()), Reason.EXCLUDED, now);
        }
    }

    /** Forgets the assumptions that are due to exclusions, because a partition of this entry was the cause of them. */
    public void forgetExclusions() {
        for (Phase p : phases.values()) {
            if (p.reason == Reason.EXCLUDED) {
                p.update(p.untilWithoutExclusion, Reason.APPEARED);
            }
        }
    }

    /**
     * Applies a statement of a server, unless a later one is known.
     *
     * @param server the server
     * @param statement what the server stated
     * @param now the present time
     * @return whether the server was warm and is cold now
     */
    public boolean apply(BackendServer.Lifetime server, Statement statement, Moment now) {
        if (listed.containsKey(server) && !isLimited(server)) {
            return false;
        }
        Phase p = phases.get(server);
        boolean wasCold = p != null && p.isCold(now);
        boolean isCold = now.isBefore(statement.until());
        if (!wasCold && !isCold) {
            return false;
        }
        if (p == null) {
            p = new Phase(statement.until(), Reason.STATED, statement.receivedAt());
            phases.put(server, p);
        }
        if (p.statement.filter(s -> isOutdated(statement, s)).isPresent()) {
            return false;
        }
        startAgainIfWarm(p, now);
        p.statement = Optional.of(statement);
        boolean newest = !statement.receivedAt().isBefore(p.assumedAt);
        if (newest || p.until.isBefore(statement.until())) {
            p.update(statement.until(), Reason.STATED);
        }
        return !wasCold && isLimited(server);
    }

    private static boolean isOutdated(Statement statement, Statement known) {
        boolean shorter = statement.until().isBefore(known.until().minus(MAX_DELAY));
        Moment notBefore = shorter ? known.receivedAt().plus(MAX_DELAY) : known.receivedAt();
        return statement.receivedAt().isBefore(notBefore);
    }

    /**
     * Returns whether a server is cold and its service limits the requests to cold servers.
     *
     * @param server the server
     * @param now the present time
     * @return whether it is cold
     */
    public boolean isCold(BackendServer.Lifetime server, Moment now) {
        Phase p = phases.get(server);
        return p != null && p.isCold(now) && isLimited(server);
    }

    /**
     * Returns how much longer a server is cold.
     *
     * @param server the server
     * @param now the present time
     * @return the time; zero if it is not cold
     */
    public Duration left(BackendServer.Lifetime server, Moment now) {
        return isCold(server, now)
                ? Duration.ofNanos(phases.get(server).until.monotonicNanos() - now.monotonicNanos())
                : Duration.ZERO;
    }

    /** Returns the requests that this entry may send to a cold server; none if it does not know its share. */
    RequestCredit credit(BackendServer.Lifetime server, Optional<RateSharing> sharing, Moment now) {
        Phase p = phases.get(server);
        if (p.credit == null || !p.sharing.equals(sharing)) {
            ColdLimit limit = listed.get(server).limit();
            double share = sharing.map(s -> s.share(server, limit.sharers())).orElse(0.0);
            double rate = limit.perSecond() * share;
            double before = p.credit == null || rate == 0 ? 0 : p.credit.amount(now);
            p.credit = new RequestCredit(rate, Duration.ZERO, before, now);
            p.sharing = sharing;
        }
        return p.credit;
    }

    /**
     * Returns the cold servers.
     *
     * @param now the present time
     * @return the listed servers that are cold
     */
    public Set<BackendServer.Lifetime> all(Moment now) {
        return phases.keySet().stream().filter(s -> isCold(s, now)).collect(Collectors.toSet());
    }

    /**
     * Returns the statements that other entries need.
     *
     * @param now the present time
     * @return the last statements of servers that are cold, or were a short time ago
     */
    public Map<BackendServer.Lifetime, Statement> reports(Moment now) {
        phases.values().removeIf(p -> !p.logged && isOver(p.until, now) && isOver(p.assumedAt, now));
        Map<BackendServer.Lifetime, Statement> result = new HashMap<>();
        phases.forEach((server, p) -> p.statement
                .filter(s -> p.isCold(now) || !isOver(s.receivedAt(), now))
                .ifPresent(s -> result.put(server, s)));
        return result;
    }

    private static boolean isOver(Moment since, Moment now) {
        return now.since(since).compareTo(REPORT_RETENTION) > 0;
    }

    /**
     * Returns the servers that have become cold or warm since the last call, for the log.
     *
     * @param now the present time
     * @return the changes
     */
    public List<Change> takeChanges(Moment now) {
        List<Change> changes = new ArrayList<>();
        phases.forEach((server, p) -> {
            boolean isCold = isCold(server, now);
            if (isCold != p.logged) {
                p.logged = isCold;
                changes.add(new Change(server, p.reason, left(server, now)));
            }
        });
        return changes;
    }
}
