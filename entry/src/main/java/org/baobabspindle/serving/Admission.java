package org.baobabspindle.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.configuration.AccountSetting;
import org.baobabspindle.core.freshness.FreshnessOutcome;
import org.baobabspindle.core.log.CrashHistory;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.RefusalKind;
import org.baobabspindle.core.request.RetryAfter;
import org.baobabspindle.logging.DecisionLog;

/**
 * Decides whether this entry accepts a request: its own readiness, the quarantine and the client account's rate limit.
 */
final class Admission {
    private static final Duration NOT_READY_RETRY = Duration.ofSeconds(2);
    private static final Duration QUARANTINE_RETRY = Duration.ofMinutes(10);

    private final EntryTables tables;
    private final AccountRateLimiter rateLimiter;
    private final RandomGenerator random;
    private final AtomicBoolean closed = new AtomicBoolean();

    Admission(EntryTables tables, AccountRateLimiter rateLimiter, RandomGenerator random) {
        this.tables = tables;
        this.rateLimiter = rateLimiter;
        this.random = random;
    }

    /** Rejects all further requests. */
    void close() {
        closed.set(true);
    }

    /** Returns the outcome of a rejected request, or empty if the request is accepted. */
    Optional<Outcome> check(Instant now, CallerRequest request) {
        Optional<Outcome> rejection =
                checkReadiness(now).or(() -> checkQuarantine(request)).or(() -> checkRateLimit(now, request));
        rejection.ifPresent(o -> DecisionLog.write("refuse", o.toString(), "account", request.account()));
        return rejection;
    }

    /** Returns the outcome of all requests while this entry is not ready, or empty if it is ready. */
    Optional<Outcome> checkReadiness(Instant now) {
        if (closed.get()) {
            return Optional.of(notRun("the entry is stopping", NOT_READY_RETRY));
        }
        FreshnessOutcome fresh = tables.log().with(v -> v.freshness().check(now, v.state()));
        if (!fresh.isFresh()) {
            return Optional.of(notRun("the configuration may be stale: " + fresh, NOT_READY_RETRY));
        }
        if (!tables.groups().with(GroupTables::isInstanceListRead)) {
            return Optional.of(notRun("the instance list has not been read yet", NOT_READY_RETRY));
        }
        return Optional.empty();
    }

    private Optional<Outcome> checkQuarantine(CallerRequest request) {
        int crashes = tables.log().with(v -> v.state().crashHistory().crashCount(request.fingerprint()));
        if (crashes < CrashHistory.QUARANTINE_THRESHOLD) {
            return Optional.empty();
        }
        String reason = "backend servers crashed " + crashes + " times while running this request";
        return Optional.of(new Outcome.Refused(RefusalKind.QUARANTINED, reason, QUARANTINE_RETRY));
    }

    private Optional<Outcome> checkRateLimit(Instant now, CallerRequest request) {
        Optional<AccountSetting> setting = tables.log()
                .with(v -> Optional.ofNullable(v.state()
                        .configuration()
                        .accounts()
                        .get(request.account().value())));
        if (setting.isEmpty()) {
            return Optional.of(
                    new Outcome.Refused(RefusalKind.UNAUTHENTICATED, "the client account is unknown", Duration.ZERO));
        }
        Duration retryAfter =
                rateLimiter.acquire(now, request.account(), setting.get().requestsPerSecond());
        if (retryAfter.isZero()) {
            return Optional.empty();
        }
        String reason =
                "the client account exceeds its limit of " + setting.get().requestsPerSecond() + " requests per second";
        return Optional.of(
                new Outcome.Refused(RefusalKind.OVER_LIMIT, reason, RetryAfter.jittered(retryAfter, random)));
    }

    private Outcome notRun(String reason, Duration retryAfter) {
        return new Outcome.NotRun(reason, RetryAfter.jittered(retryAfter, random));
    }
}
