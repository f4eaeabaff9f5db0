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

/** Decides whether a request may be taken on at all: freshness, quarantine and the limit of the client account. */
final class Admission {
    private static final Duration STALE_RETRY = Duration.ofSeconds(2);
    private static final Duration QUARANTINE_RETRY = Duration.ofMinutes(10);

    private final EntryTables tables;
    private final AccountRateLimiter tokens;
    private final RandomGenerator random;
    private final AtomicBoolean closed = new AtomicBoolean();

    Admission(EntryTables tables, AccountRateLimiter tokens, RandomGenerator random) {
        this.tables = tables;
        this.tokens = tokens;
        this.random = random;
    }

    /** Takes on no further request. */
    void close() {
        closed.set(true);
    }

    /** Returns why a request is not taken on, or empty if it is. */
    Optional<Outcome> check(Instant now, CallerRequest request) {
        Optional<Outcome> refused =
                checkEntry(now).or(() -> checkQuarantine(request)).or(() -> checkLimit(now, request));
        refused.ifPresent(o -> DecisionLog.write("refuse", o.toString(), "account", request.account()));
        return refused;
    }

    /** Returns why this entry takes on no request now, or empty if it does. */
    Optional<Outcome> checkEntry(Instant now) {
        if (closed.get()) {
            return Optional.of(notRun("the entry is stopping", STALE_RETRY));
        }
        FreshnessOutcome fresh = tables.log().with(v -> v.freshness().check(now, v.state()));
        if (!fresh.isFresh()) {
            return Optional.of(notRun("the configuration may have changed unseen: " + fresh, STALE_RETRY));
        }
        if (!tables.groups().with(GroupTables::isInstanceListRead)) {
            return Optional.of(notRun("the instance list has not been read yet", STALE_RETRY));
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

    private Optional<Outcome> checkLimit(Instant now, CallerRequest request) {
        Optional<AccountSetting> setting = tables.log()
                .with(v -> Optional.ofNullable(v.state()
                        .configuration()
                        .accounts()
                        .get(request.account().value())));
        if (setting.isEmpty()) {
            return Optional.of(
                    new Outcome.Refused(RefusalKind.UNAUTHENTICATED, "the client account is not known", Duration.ZERO));
        }
        Duration wait = tokens.acquire(now, request.account(), setting.get().requestsPerSecond());
        if (wait.isZero()) {
            return Optional.empty();
        }
        String reason =
                "the client account is over its limit of " + setting.get().requestsPerSecond() + " requests per second";
        return Optional.of(new Outcome.Refused(RefusalKind.OVER_LIMIT, reason, RetryAfter.jittered(wait, random)));
    }

    private Outcome notRun(String reason, Duration retryAfter) {
        return new Outcome.NotRun(reason, RetryAfter.jittered(retryAfter, random));
    }
}
