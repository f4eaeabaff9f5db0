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
    private static final int TRIAL_POLL_INTERVAL_MILLIS = 50;

    private final EntryTables tables;
    private final GroupSelector selector;
    private final GroupProber prober;
    private final CompletionClient completions;
    private final CrashAttribution crashAttribution;
    private final RetryBudget retryBudget;
    private final RandomGenerator random;

    ChatExecutor(
            EntryTables tables,
            GroupSelector selector,
            GroupProber prober,
            CompletionClient completions,
            CrashAttribution crashAttribution,
            RetryBudget retryBudget,
            RandomGenerator random) {
        this.tables = tables;
        this.selector = selector;
        this.prober = prober;
        this.completions = completions;
        this.crashAttribution = crashAttribution;
        this.retryBudget = retryBudget;
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
        retryBudget.recordFirstAttempt();
        String id = UUID.randomUUID().toString();
        ChatResponseWriter response = new ChatResponseWriter(id, model.get(), chat.stream(), sink);
        return runAttempts(request, chat, model.get(), response);
    }

    private Outcome runAttempts(
            CallerRequest request, ChatRequest chat, ModelVersion model, ChatResponseWriter response) {
        Set<GroupId> excluded = new HashSet<>();
        boolean mayHaveRun = false;
        for (int attempts = 1; ; attempts++) {
            boolean trial = crashAttribution.crashCount(request) > 0;
            GroupSelector.Criteria criteria = new GroupSelector.Criteria(model, chat.prefix(), excluded, trial);
            Optional<GroupSelector.Selection> selection = selectGroup(request, criteria);
            if (selection.isEmpty()) {
                return noGroupAvailable(model, mayHaveRun, response);
            }
            Attempt attempt = new Attempt();
            String reason = runAttempt(request, chat, response, selection.get(), attempt);
            selector.release(selection.get(), trial);
            Settlement settlement = attempt.settlement().orElse(Settlement.UNKNOWN);
            if (settlement == Settlement.COMPLETED) {
                return finish(response);
            }
            mayHaveRun |= settlement == Settlement.UNKNOWN;
            excluded.add(selection.get().group());
            Optional<Outcome> finalOutcome = outcomeAfterFailure(request, selection.get(), attempt, settlement, reason);
            if (finalOutcome.isPresent()) {
                return finalOutcome.get();
            }
            boolean idempotent = request.key().isEmpty();
            RetryDecision decision = RetryDecision.of(settlement, idempotent, attempts, retryBudget);
            DecisionLog.write(
                    "retry",
                    decision + ": " + reason,
                    "account",
                    request.account(),
                    "group",
                    selection.get().group());
            if (decision != RetryDecision.RETRY) {
                return mayHaveRun ? new Outcome.Unknown(reason) : notRun(reason);
            }
        }
    }

    /**
     * Selects a group. Each group runs one request at a time that is suspected of crashing engines, so such a request
     * may wait here for a group.
     */
    private Optional<GroupSelector.Selection> selectGroup(CallerRequest request, GroupSelector.Criteria criteria) {
        Optional<GroupSelector.Selection> selection =
                selector.select(tables.clock().instant(), criteria);
        if (selection.isEmpty()) {
            prober.probeMembers(selector.groupsToProbe(criteria));
            selection = selector.select(tables.clock().instant(), criteria);
        }
        while (selection.isEmpty()
                && selector.canWaitForTrial(tables.clock().instant(), criteria, request.deadline())) {
            try {
                Thread.sleep(TRIAL_POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
            if (crashAttribution.crashCount(request) >= CrashHistory.QUARANTINE_THRESHOLD) {
                return Optional.empty();
            }
            selection = selector.select(tables.clock().instant(), criteria);
        }
        return selection;
    }

    private String runAttempt(
            CallerRequest request,
            ChatRequest chat,
            ChatResponseWriter response,
            GroupSelector.Selection selection,
            Attempt attempt) {
        Instant start = tables.clock().instant();
        String id = UUID.randomUUID().toString();
        Duration timeout = Duration.between(start, request.deadline());
        if (timeout.isNegative() || timeout.isZero()) {
            attempt.apply(AttemptEvent.DEADLINE_PASSED);
            return "the deadline passed";
        }
        DecisionLog.write(
                "route",
                selection.reason(),
                "attempt",
                id,
                "group",
                selection.group(),
                "lead",
                selection.head().id(),
                "account",
                request.account());
        CompletionRequest completion = new CompletionRequest(
                id, selection.group(), chat.prompt(), chat.maxTokens(), response.tokenCount(), timeout);
        int resumeFrom = response.tokenCount();
        return completions.run(selection.head(), completion, attempt, (index, token) -> {
            if (index == resumeFrom) {
                Duration time = Duration.between(start, tables.clock().instant());
                tables.loads().use(l -> l.recordTimeToFirstToken(selection.group(), time));
            }
            response.tokenReceived(index, token);
        });
    }

    /** Records the failure of a group; returns the outcome if the request must not be attempted again. */
    private Optional<Outcome> outcomeAfterFailure(
            CallerRequest request,
            GroupSelector.Selection selection,
            Attempt attempt,
            Settlement settlement,
            String reason) {
        if (settlement != Settlement.UNKNOWN) {
            return Optional.empty();
        }
        boolean deadlinePassed = !tables.clock().instant().isBefore(request.deadline());
        if (deadlinePassed
                || attempt.settledBy().filter(e -> e.isCausedByCaller()).isPresent()) {
            return Optional.of(new Outcome.Unknown(reason));
        }
        crashAttribution.groupFailed(tables.clock().instant(), request, selection.group());
        if (crashAttribution.crashCount(request) >= CrashHistory.QUARANTINE_THRESHOLD) {
            return Optional.of(new Outcome.Unknown(
                    "backend servers crashed while running this request, which is now quarantined"));
        }
        return Optional.empty();
    }

    private Outcome noGroupAvailable(ModelVersion model, boolean mayHaveRun, ChatResponseWriter response) {
        String reason = "no group of " + model + " accepts requests";
        DecisionLog.write("no-route", reason, "model", model);
        return mayHaveRun || response.tokenCount() > 0 ? new Outcome.Unknown(reason) : notRun(reason);
    }

    private Outcome notRun(String reason) {
        return new Outcome.NotRun(reason, RetryAfter.jittered(NO_GROUP_RETRY, random));
    }

    private static Outcome finish(ChatResponseWriter response) {
        try {
            response.finish();
            return new Outcome.Completed();
        } catch (IOException e) {
            return new Outcome.Unknown("the caller disconnected: " + e.getMessage());
        }
    }
}
