package org.baobabspindle.serving;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.baobabspindle.application.ServiceCall;
import org.baobabspindle.application.ServiceClient;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.request.Attempt;
import org.baobabspindle.core.request.AttemptEvent;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.RefusalKind;
import org.baobabspindle.core.request.RetryAfter;
import org.baobabspindle.core.request.RetryBudget;
import org.baobabspindle.core.request.RetryDecision;
import org.baobabspindle.core.request.Settlement;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.platform.ServiceInstance;

/** Runs calls of plain services. */
final class ServiceCallExecutor implements RequestExecutor {
    /** The path prefix of plain services. */
    static final String PATH_PREFIX = "/services/";

    private static final Duration NO_INSTANCE_RETRY = Duration.ofSeconds(2);

    private final EntryTables tables;
    private final ServiceClient client;
    private final RetryBudget retryBudget;
    private final RandomGenerator random;

    ServiceCallExecutor(EntryTables tables, ServiceClient client, RetryBudget retryBudget, RandomGenerator random) {
        this.tables = tables;
        this.client = client;
        this.retryBudget = retryBudget;
        this.random = random;
    }

    @Override
    public Outcome run(CallerRequest request, ResponseSink sink) {
        String remainder = request.path().substring(PATH_PREFIX.length());
        int slash = remainder.indexOf('/');
        String name = slash < 0 ? remainder : remainder.substring(0, slash);
        String path = slash < 0 ? "/" : remainder.substring(slash);
        Configuration configuration = tables.log().with(v -> v.state().configuration());
        boolean entitled = Optional.ofNullable(
                        configuration.accounts().get(request.account().value()))
                .map(a -> a.services().contains(name))
                .orElse(false);
        if (!entitled) {
            String reason = "client account " + request.account() + " may not call service " + name;
            return new Outcome.Refused(RefusalKind.NOT_ENTITLED, reason, Duration.ZERO);
        }
        retryBudget.recordFirstAttempt();
        boolean idempotent =
                configuration.services().get(name).idempotentMethods().contains(request.method());
        return runAttempts(request, name, path, idempotent, sink);
    }

    private Outcome runAttempts(
            CallerRequest request, String name, String path, boolean idempotent, ResponseSink sink) {
        Set<Incarnation> excluded = new HashSet<>();
        boolean mayHaveRun = false;
        for (int attempts = 1; ; attempts++) {
            Optional<ServiceInstance> instance = selectInstance(name, excluded);
            if (instance.isEmpty()) {
                String reason = "no instance of service " + name + " accepts requests";
                return mayHaveRun ? new Outcome.Unknown(reason) : notRun(reason);
            }
            Attempt attempt = new Attempt();
            Optional<StoredAnswer> answer = callInstance(request, path, instance.get(), attempt);
            if (answer.isPresent()) {
                return deliver(answer.get(), sink);
            }
            excluded.add(instance.get().id());
            Settlement settlement = attempt.settlement().orElse(Settlement.UNKNOWN);
            mayHaveRun |= settlement == Settlement.UNKNOWN;
            RetryDecision decision = RetryDecision.of(settlement, idempotent, attempts, retryBudget);
            DecisionLog.write(
                    "retry",
                    decision.toString(),
                    "service",
                    name,
                    "instance",
                    instance.get().id());
            if (decision != RetryDecision.RETRY) {
                String reason = "instance " + instance.get().id() + " did not answer";
                return mayHaveRun ? new Outcome.Unknown(reason) : notRun(reason);
            }
        }
    }

    /**
     * Selects the instance with the fewest outstanding calls of this entry, preferring the own availability zone on
     * ties, and counts the call.
     */
    private Optional<ServiceInstance> selectInstance(String name, Set<Incarnation> excluded) {
        return tables.groups().with(g -> tables.loads().with(l -> {
            Optional<ServiceInstance> selected = g.instances().services().stream()
                    .filter(s -> s.service().equals(name) && !excluded.contains(s.id()))
                    .filter(s -> !s.leaving() && !g.isServiceLeaving(s.id()))
                    .min(Comparator.<ServiceInstance>comparingInt(s -> l.outstandingCalls(s.id()))
                            .thenComparing(s -> !s.zone().equals(tables.self().zone()))
                            .thenComparing(ServiceInstance::id));
            selected.ifPresent(s -> l.callStarted(s.id()));
            return selected;
        }));
    }

    private Optional<StoredAnswer> callInstance(
            CallerRequest request, String path, ServiceInstance instance, Attempt attempt) {
        String id = UUID.randomUUID().toString();
        Instant now = tables.clock().instant();
        Duration timeout = Duration.between(now, request.deadline());
        if (timeout.isNegative() || timeout.isZero()) {
            attempt.apply(AttemptEvent.DEADLINE_PASSED);
            tables.loads().use(l -> l.callEnded(instance.id()));
            return Optional.empty();
        }
        DecisionLog.write(
                "route",
                "fewest outstanding calls, own zone on ties",
                "attempt",
                id,
                "instance",
                instance.id(),
                "account",
                request.account());
        ServiceCall call = new ServiceCall(id, request.method(), path, request.contentType(), request.body(), timeout);
        try {
            return client.call(instance, call, attempt);
        } finally {
            tables.loads().use(l -> l.callEnded(instance.id()));
        }
    }

    private static Outcome deliver(StoredAnswer answer, ResponseSink sink) {
        try {
            sink.begin(answer.status(), answer.contentType());
            sink.write(answer.body());
        } catch (IOException e) {
            DecisionLog.write("caller-left", String.valueOf(e.getMessage()));
        }
        return new Outcome.Completed();
    }

    private Outcome notRun(String reason) {
        return new Outcome.NotRun(reason, RetryAfter.jittered(NO_INSTANCE_RETRY, random));
    }
}
