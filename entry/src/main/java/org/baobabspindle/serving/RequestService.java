package org.baobabspindle.serving;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.RequestIntended;
import org.baobabspindle.core.request.IdempotencyKeyTable;
import org.baobabspindle.core.request.KeyHome;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.RefusalKind;
import org.baobabspindle.core.request.Settlement;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.core.request.Ticket;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.platform.LogAppender;

/** Serves requests: admits them, finds the entry that may run them, and runs each idempotency key at most once. */
public final class RequestService {
    private static final int MAX_STORED_ANSWER_BYTES = 256 * 1024;
    private static final Duration KEY_TABLE_FULL_RETRY = Duration.ofSeconds(30);
    private static final Duration INTENT_TIMEOUT = Duration.ofSeconds(3);

    /** The time before the deadline of a forwarded request at which the other entry can still be answered. */
    private static final Duration FORWARDED_RESPONSE_MARGIN = Duration.ofMillis(100);

    private final EntryTables tables;
    private final Admission admission;
    private final RecordAppender recordAppender;
    private final LogReader logReader;
    private final Forwarder forwarder;
    private final ExecutorSelector executors;

    RequestService(
            EntryTables tables,
            Admission admission,
            RecordAppender recordAppender,
            LogReader logReader,
            Forwarder forwarder,
            ExecutorSelector executors) {
        this.tables = tables;
        this.admission = admission;
        this.recordAppender = recordAppender;
        this.logReader = logReader;
        this.forwarder = forwarder;
        this.executors = executors;
    }

    /**
     * Serves a request that a caller sent to this entry.
     *
     * @param request the request
     * @param sink receives the response
     * @return the outcome
     */
    public Outcome serve(CallerRequest request, ResponseSink sink) {
        return request.key().isEmpty() ? admitAndRun(request, sink) : serveKeyed(request, sink);
    }

    private Outcome admitAndRun(CallerRequest request, ResponseSink sink) {
        Optional<Outcome> rejection = admission.check(tables.clock().instant(), request);
        return rejection.isPresent()
                ? rejection.get()
                : executors.select(request).run(request, sink);
    }

    /**
     * Serves a request that another entry forwarded because this entry is the home of its key.
     *
     * @param request the request
     * @param sink receives the response
     * @return the outcome
     */
    public Outcome serveForwarded(CallerRequest request, ResponseSink sink) {
        awaitReplay(request);
        KeyHome home = keyHome(request);
        if (home instanceof KeyHome.Here) {
            return runLocally(request, sink);
        }
        return new Outcome.Unknown("the key does not belong to the entry to which it was forwarded: " + home);
    }

    /** Waits for what the entry that forwards a request has found in the log, which this entry may have read less far. */
    private void awaitReplay(CallerRequest request) {
        if (isReplayed(request)) {
            return;
        }
        Duration left =
                Duration.between(tables.clock().instant(), request.deadline()).minus(FORWARDED_RESPONSE_MARGIN);
        Duration timeout = left.compareTo(INTENT_TIMEOUT) < 0 ? left : INTENT_TIMEOUT;
        logReader.readUntil(() -> isReplayed(request), timeout);
    }

    private boolean isReplayed(CallerRequest request) {
        boolean accountKnown = tables.log().with(v -> v.state()
                .configuration()
                .accounts()
                .containsKey(request.account().value()));
        return accountKnown && !(keyHome(request) instanceof KeyHome.Undecided);
    }

    private KeyHome keyHome(CallerRequest request) {
        return tables.log()
                .with(v -> KeyHome.find(
                        tables.id(), v.state(), request.account(), request.key().orElseThrow()));
    }

    /**
     * Serves a request that may have been sent before. Only the home of the key can state that the request did not run,
     * so the request is admitted there, after the key has been looked up.
     */
    private Outcome serveKeyed(CallerRequest request, ResponseSink sink) {
        KeyHome home = keyHome(request);
        DecisionLog.write(
                "key-home",
                home.toString(),
                "account",
                request.account(),
                "key",
                request.key().get());
        if (home instanceof KeyHome.Here) {
            return runLocally(request, sink);
        }
        if (home instanceof KeyHome.Undecided) {
            return runAfterIntent(request, sink);
        }
        return forwardToHome(home, request, sink);
    }

    private Outcome runLocally(CallerRequest request, ResponseSink sink) {
        Instant now = tables.clock().instant();
        Optional<Ticket> ticket = Ticket.of(request.key().orElseThrow());
        if (ticket.isPresent() && ticket.get().isExpired(now)) {
            return new Outcome.Unknown("the key exceeded its lifetime of " + Ticket.LIFETIME);
        }
        IdempotencyKeys.Begun begun = tables.keys().with(k -> k.begin(now, request, ticket.isEmpty()));
        if (begun.decision() instanceof IdempotencyKeyTable.Decision.Run) {
            return runAndFinish(request, sink);
        }
        return answerWithoutRunning(begun, request, sink);
    }

    /** Reserves the key locally, then appends an intent, by which the log decides which entry may run the request. */
    private Outcome runAfterIntent(CallerRequest request, ResponseSink sink) {
        Instant now = tables.clock().instant();
        boolean logReadable = tables.log().with(v -> v.freshness().isLogReadable(now, v.state()));
        if (!logReadable) {
            return new Outcome.Unknown(
                    "the log is unavailable; without it, a key without a ticket may have run before; retry later");
        }
        IdempotencyKeys.Begun begun = tables.keys().with(k -> k.begin(now, request, false));
        if (begun.decision() instanceof IdempotencyKeyTable.Decision.Full) {
            return new Outcome.Unknown("the key table is full, so no intent was appended for this key");
        }
        if (!(begun.decision() instanceof IdempotencyKeyTable.Decision.Run)) {
            return answerWithoutRunning(begun, request, sink);
        }
        Optional<LogAppender.AppendResult> intentResult = awaitIntent(request);
        if (intentResult.isPresent() && intentResult.get().verdict().isAccepted()) {
            return runAndFinish(request, sink);
        }
        KeyHome home = keyHome(request);
        if (home instanceof KeyHome.Here) {
            // An earlier intent of this entry came first; this request has reserved the key.
            return runAndFinish(request, sink);
        }
        Outcome undecided = new Outcome.Unknown("the log did not decide in time which entry may run this key");
        boolean homeDecided = home instanceof KeyHome.There || home instanceof KeyHome.Gone;
        finish(
                request,
                Settlement.NOT_RUN,
                homeDecided ? RequestResult.decidedElsewhere() : RequestResult.of(undecided));
        return homeDecided ? forwardToHome(home, request, sink) : undecided;
    }

    private Outcome forwardToHome(KeyHome home, CallerRequest request, ResponseSink sink) {
        if (home instanceof KeyHome.There there) {
            return forwarder.forward(there.entry(), request, sink);
        }
        return new Outcome.Unknown("the only entry that may run this key is no longer a member: " + home);
    }

    private Optional<LogAppender.AppendResult> awaitIntent(CallerRequest request) {
        CompletableFuture<LogAppender.AppendResult> appended = recordAppender.append(
                new RequestIntended(request.account(), request.key().orElseThrow()));
        try {
            return Optional.of(appended.get(INTENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private Outcome runAndFinish(CallerRequest request, ResponseSink sink) {
        BufferingResponseSink buffer = new BufferingResponseSink(Optional.of(sink), MAX_STORED_ANSWER_BYTES);
        Outcome outcome = new Outcome.Unknown("the entry failed while running the request");
        try {
            outcome = admitAndRun(request, buffer);
        } finally {
            Settlement settlement = settlementOf(outcome);
            Optional<StoredAnswer> answer =
                    settlement == Settlement.COMPLETED ? buffer.storedAnswer() : Optional.empty();
            finish(request, settlement, new RequestResult(outcome, answer));
        }
        return outcome;
    }

    private void finish(CallerRequest request, Settlement settlement, RequestResult result) {
        tables.keys()
                .with(k -> k.finish(request, settlement, result.answer()))
                .ifPresent(future -> future.complete(result));
    }

    private static Settlement settlementOf(Outcome outcome) {
        if (outcome instanceof Outcome.Completed) {
            return Settlement.COMPLETED;
        }
        return outcome instanceof Outcome.Unknown ? Settlement.UNKNOWN : Settlement.NOT_RUN;
    }

    private Outcome answerWithoutRunning(IdempotencyKeys.Begun begun, CallerRequest request, ResponseSink sink) {
        IdempotencyKeyTable.Decision decision = begun.decision();
        if (decision instanceof IdempotencyKeyTable.Decision.Answered answered) {
            return replay(answered.answer(), sink);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Running) {
            return awaitRunning(begun.running(), request, sink);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Mismatch) {
            return new Outcome.Refused(
                    RefusalKind.KEY_REUSED, "the key was already used for a different request", Duration.ZERO);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Full) {
            return new Outcome.NotRun("the key table is full", KEY_TABLE_FULL_RETRY);
        }
        return new Outcome.Unknown("the request ran before and its answer is not stored");
    }

    private Outcome awaitRunning(
            Optional<CompletableFuture<RequestResult>> running, CallerRequest request, ResponseSink sink) {
        long timeoutMillis =
                Duration.between(tables.clock().instant(), request.deadline()).toMillis();
        if (running.isEmpty() || timeoutMillis <= 0) {
            return new Outcome.Unknown("the request is running");
        }
        try {
            RequestResult result = running.get().get(timeoutMillis, TimeUnit.MILLISECONDS);
            if (result.isDecidedElsewhere()) {
                return forwardToHome(keyHome(request), request, sink);
            }
            return result.answer().isPresent() ? replay(result.answer().get(), sink) : outcomeWithoutAnswer(result);
        } catch (ExecutionException | TimeoutException e) {
            return new Outcome.Unknown("the request is still running");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome.Unknown("the request is running");
        }
    }

    private static Outcome outcomeWithoutAnswer(RequestResult result) {
        boolean completed = result.outcome() instanceof Outcome.Completed;
        return completed ? new Outcome.Unknown("the request ran and its answer is not stored") : result.outcome();
    }

    private static Outcome replay(StoredAnswer answer, ResponseSink sink) {
        try {
            sink.begin(answer.status(), answer.contentType());
            sink.write(answer.body());
            return new Outcome.Completed();
        } catch (IOException e) {
            return new Outcome.Unknown("the caller disconnected: " + e.getMessage());
        }
    }

    /** Forwards requests to other entries. */
    public interface Forwarder {
        /**
         * Forwards a request to the only entry that may run it.
         *
         * @param home the entry to forward to
         * @param request the request
         * @param sink receives the response
         * @return the outcome
         */
        Outcome forward(Incarnation home, CallerRequest request, ResponseSink sink);
    }

    /** Selects the executor of a request. */
    interface ExecutorSelector {
        /**
         * Selects the executor.
         *
         * @param request the request
         * @return the executor
         */
        RequestExecutor select(CallerRequest request);
    }
}
