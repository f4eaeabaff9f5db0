package org.baobabspindle.serving;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.CrashHistory;
import org.baobabspindle.core.request.Attempt;
import org.baobabspindle.core.request.AttemptEvent;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.RefusalKind;
import org.baobabspindle.core.request.RetryAfter;
import org.baobabspindle.core.request.RetryBudget;
import org.baobabspindle.core.request.RetryDecision;
import org.baobabspindle.core.request.Settlement;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.runner.CompletionClient;
import org.baobabspindle.runner.CompletionRequest;

/** Runs chat completions on groups of model engines. */
final class ChatExecutor implements RequestExecutor {
    private static final Duration NO_GROUP_RETRY = Duration.ofSeconds(2);
    private static final int TRIAL_POLL_MILLIS = 50;

    private final EntryTables tables;
    private final GroupSelector choice;
    private final GroupProber refresh;
    private final CompletionClient engines;
    private final CrashAttribution crashes;
    private final RetryBudget budget;
    private final RandomGenerator random;

    ChatExecutor(
            EntryTables tables,
            GroupSelector choice,
            GroupProber refresh,
            CompletionClient engines,
            CrashAttribution crashes,
            RetryBudget budget,
            RandomGenerator random) {
        this.tables = tables;
        this.choice = choice;
        this.refresh = refresh;
        this.engines = engines;
        this.crashes = crashes;
        this.budget = budget;
        this.random = random;
    }

    @Override
    public Outcome run(CallerRequest request, ResponseSink sink) {
        ChatRequest chat;
        try {
            chat = ChatRequest.parse(request.body());
        } catch (IllegalArgumentException e) {
            return new Outcome.Refused(RefusalKind.MALFORMED, e.getMessage(), Duration.ZERO);
        }
        Optional<ModelVersion> model =
                tables.log().with(v -> v.state().configuration().entitledModel(request.account(), chat.model()));
        if (model.isEmpty()) {
            String reason = "client account " + request.account() + " may not use model " + chat.model();
            return new Outcome.Refused(RefusalKind.NOT_ENTITLED, reason, Duration.ZERO);
        }
        budget.recordFirstAttempt();
        String id = UUID.randomUUID().toString();
        ChatResponseWriter answer = new ChatResponseWriter(id, model.get(), chat.stream(), sink);
        return attempts(request, chat, model.get(), answer);
    }

    private Outcome attempts(CallerRequest request, ChatRequest chat, ModelVersion model, ChatResponseWriter answer) {
        Set<GroupId> avoid = new HashSet<>();
        boolean mayHaveRun = false;
        for (int attempts = 1; ; attempts++) {
            boolean trial = crashes.crashes(request) > 0;
            GroupSelector.Wanted wanted = new GroupSelector.Wanted(model, chat.prefix(), avoid, trial);
            Optional<GroupSelector.Chosen> chosen = choose(request, wanted);
            if (chosen.isEmpty()) {
                return noGroup(model, mayHaveRun, answer);
            }
            Attempt attempt = new Attempt();
            String failure = attempt(request, chat, answer, chosen.get(), attempt);
            choice.end(chosen.get(), trial);
            Settlement settlement = attempt.settlement().orElse(Settlement.UNKNOWN);
            if (settlement == Settlement.COMPLETED) {
                return end(answer);
            }
            mayHaveRun |= settlement == Settlement.UNKNOWN;
            avoid.add(chosen.get().group());
            Optional<Outcome> last = afterFailure(request, chosen.get(), attempt, settlement, failure);
            if (last.isPresent()) {
                return last.get();
            }
            boolean idempotent = request.key().isEmpty();
            RetryDecision decision = RetryDecision.of(settlement, idempotent, attempts, budget);
            DecisionLog.write(
                    "retry",
                    decision + ": " + failure,
                    "account",
                    request.account(),
                    "group",
                    chosen.get().group());
            if (decision != RetryDecision.RETRY) {
                return mayHaveRun ? new Outcome.Unknown(failure) : notRun(failure);
            }
        }
    }

    /** Waits for a group when the request is a suspect, since those run one at a time on each group. */
    private Optional<GroupSelector.Chosen> choose(CallerRequest request, GroupSelector.Wanted wanted) {
        Optional<GroupSelector.Chosen> chosen = choice.choose(tables.clock().instant(), wanted);
        if (chosen.isEmpty()) {
            refresh.probeMembers(choice.worthAsking(wanted));
            chosen = choice.choose(tables.clock().instant(), wanted);
        }
        while (chosen.isEmpty() && choice.isWorthWaiting(tables.clock().instant(), wanted, request.deadline())) {
            try {
                Thread.sleep(TRIAL_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
            if (crashes.crashes(request) >= CrashHistory.QUARANTINE_THRESHOLD) {
                return Optional.empty();
            }
            chosen = choice.choose(tables.clock().instant(), wanted);
        }
        return chosen;
    }

    private String attempt(
            CallerRequest request,
            ChatRequest chat,
            ChatResponseWriter answer,
            GroupSelector.Chosen chosen,
            Attempt attempt) {
        Instant start = tables.clock().instant();
        String id = UUID.randomUUID().toString();
        Duration left = Duration.between(start, request.deadline());
        if (left.isNegative() || left.isZero()) {
            attempt.apply(AttemptEvent.DEADLINE_PASSED);
            return "the deadline passed";
        }
        DecisionLog.write(
                "route",
                chosen.reason(),
                "attempt",
                id,
                "group",
                chosen.group(),
                "lead",
                chosen.lead().id(),
                "account",
                request.account());
        CompletionRequest completion =
                new CompletionRequest(id, chosen.group(), chat.prompt(), chat.maxTokens(), answer.taken(), left);
        int before = answer.taken();
        return engines.run(chosen.lead(), completion, attempt, (index, token) -> {
            if (index == before) {
                Duration time = Duration.between(start, tables.clock().instant());
                tables.loads().use(l -> l.sawFirstToken(chosen.group(), time));
            }
            answer.tokenReceived(index, token);
        });
    }

    /** Notes a broken group, and returns the outcome if the request must not be attempted again. */
    private Optional<Outcome> afterFailure(
            CallerRequest request,
            GroupSelector.Chosen chosen,
            Attempt attempt,
            Settlement settlement,
            String failure) {
        if (settlement != Settlement.UNKNOWN) {
            return Optional.empty();
        }
        boolean late = !tables.clock().instant().isBefore(request.deadline());
        if (late || attempt.settledBy().filter(e -> e.isCausedByCaller()).isPresent()) {
            return Optional.of(new Outcome.Unknown(failure));
        }
        crashes.broke(tables.clock().instant(), request, chosen.group());
        if (crashes.crashes(request) >= CrashHistory.QUARANTINE_THRESHOLD) {
            return Optional.of(new Outcome.Unknown(
                    "backend servers crashed while running this request; it will be refused from now on"));
        }
        return Optional.empty();
    }

    private Outcome noGroup(ModelVersion model, boolean mayHaveRun, ChatResponseWriter answer) {
        String reason = "no group of " + model + " takes requests now";
        DecisionLog.write("no-route", reason, "model", model);
        return mayHaveRun || answer.taken() > 0 ? new Outcome.Unknown(reason) : notRun(reason);
    }

    private Outcome notRun(String reason) {
        return new Outcome.NotRun(reason, RetryAfter.jittered(NO_GROUP_RETRY, random));
    }

    private static Outcome end(ChatResponseWriter answer) {
        try {
            answer.end();
            return new Outcome.Completed();
        } catch (IOException e) {
            return new Outcome.Unknown("the caller left: " + e.getMessage());
        }
    }
}
