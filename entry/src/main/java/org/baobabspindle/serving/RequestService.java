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

/** Serves requests: admits them, finds the entry that may run them, runs each key at most once. */
public final class RequestService {
    private static final int MAX_KEPT_ANSWER_BYTES = 256 * 1024;
    private static final Duration FULL_RETRY = Duration.ofSeconds(30);
    private static final Duration INTENT_WAIT = Duration.ofSeconds(3);

    private final EntryTables tables;
    private final Admission admission;
    private final RecordAppender appends;
    private final Forwarder forwarder;
    private final ExecutorSelector works;

    RequestService(
            EntryTables tables,
            Admission admission,
            RecordAppender appends,
            Forwarder forwarder,
            ExecutorSelector works) {
        this.tables = tables;
        this.admission = admission;
        this.appends = appends;
        this.forwarder = forwarder;
        this.works = works;
    }

    /**
     * Serves a request that a caller sent to this entry.
     *
     * @param request the request
     * @param sink takes the answer
     * @return the outcome
     */
    public Outcome serve(CallerRequest request, ResponseSink sink) {
        return request.key().isEmpty() ? admitAndRun(request, sink) : serveKeyed(request, sink);
    }

    private Outcome admitAndRun(CallerRequest request, ResponseSink sink) {
        Optional<Outcome> refused = admission.check(tables.clock().instant(), request);
        return refused.isPresent() ? refused.get() : works.of(request).run(request, sink);
    }

    /**
     * Serves a request that another entry handed over because its key names this entry.
     *
     * @param request the request
     * @param sink takes the answer
     * @return the outcome
     */
    public Outcome serveForwarded(CallerRequest request, ResponseSink sink) {
        KeyHome home = home(request);
        if (home instanceof KeyHome.Here) {
            return runHere(request, sink);
        }
        return new Outcome.Unknown("the key belongs to another entry");
    }

    private KeyHome home(CallerRequest request) {
        return tables.log()
                .with(v -> KeyHome.find(
                        tables.id(), v.state(), request.account(), request.key().orElseThrow()));
    }

    /**
     * Serves a request that may have been sent before. Only the entry that remembers the key can say that the request did
     * not run, so the request is admitted there, after the key was looked up.
     */
    private Outcome serveKeyed(CallerRequest request, ResponseSink sink) {
        KeyHome home = home(request);
        DecisionLog.write(
                "key-home",
                home.toString(),
                "account",
                request.account(),
                "key",
                request.key().get());
        if (home instanceof KeyHome.Here) {
            return runHere(request, sink);
        }
        if (home instanceof KeyHome.Undecided) {
            return runIntended(request, sink);
        }
        return serveElsewhere(home, request, sink);
    }

    private Outcome runHere(CallerRequest request, ResponseSink sink) {
        Instant now = tables.clock().instant();
        Optional<Ticket> ticket = Ticket.of(request.key().orElseThrow());
        if (ticket.isPresent() && ticket.get().isExpired(now)) {
            return new Outcome.Unknown("the key is past its lifetime of " + Ticket.LIFETIME);
        }
        IdempotencyKeyTable.Decision decision = tables.keys().with(k -> k.begin(now, request, ticket.isEmpty()));
        if (decision instanceof IdempotencyKeyTable.Decision.Run) {
            return runAndFinish(request, sink);
        }
        return answerWithoutRunning(decision, request, sink);
    }

    /** Takes the key locally, then lets the log decide which entry may run it. */
    private Outcome runIntended(CallerRequest request, ResponseSink sink) {
        Instant now = tables.clock().instant();
        boolean readable = tables.log().with(v -> v.freshness().isLogReadable(now, v.state()));
        if (!readable) {
            return new Outcome.Unknown(
                    "the log is away, so whether a key without a ticket was run before cannot be known; come back");
        }
        IdempotencyKeyTable.Decision decision = tables.keys().with(k -> k.begin(now, request, false));
        if (decision instanceof IdempotencyKeyTable.Decision.Full) {
            return new Outcome.Unknown(
                    "no further key can be remembered, so the log was not asked who may run this key");
        }
        if (!(decision instanceof IdempotencyKeyTable.Decision.Run)) {
            return answerWithoutRunning(decision, request, sink);
        }
        Optional<LogAppender.AppendResult> settled = awaitIntent(request);
        if (settled.isPresent() && settled.get().verdict().isAccepted()) {
            return runAndFinish(request, sink);
        }
        Outcome unsettled = new Outcome.Unknown("the log did not settle in time which entry may run this key");
        KeyHome home = home(request);
        boolean decided = home instanceof KeyHome.There || home instanceof KeyHome.Gone;
        finish(request, Settlement.NOT_RUN, decided ? RequestResult.elsewhere() : RequestResult.of(unsettled));
        return decided ? serveElsewhere(home, request, sink) : unsettled;
    }

    private Outcome serveElsewhere(KeyHome home, CallerRequest request, ResponseSink sink) {
        if (home instanceof KeyHome.There there) {
            return forwarder.forward(there.entry(), request, sink);
        }
        return new Outcome.Unknown("the only entry that may run this key is gone: " + home);
    }

    private Optional<LogAppender.AppendResult> awaitIntent(CallerRequest request) {
        CompletableFuture<LogAppender.AppendResult> appended = appends.append(
                new RequestIntended(request.account(), request.key().orElseThrow()));
        try {
            return Optional.of(appended.get(INTENT_WAIT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private Outcome runAndFinish(CallerRequest request, ResponseSink sink) {
        BufferingResponseSink kept = new BufferingResponseSink(Optional.of(sink), MAX_KEPT_ANSWER_BYTES);
        Outcome outcome = new Outcome.Unknown("the entry failed while running the request");
        try {
            outcome = admitAndRun(request, kept);
        } finally {
            Settlement settlement = settlementOf(outcome);
            Optional<StoredAnswer> answer = settlement == Settlement.COMPLETED ? kept.storedAnswer() : Optional.empty();
            finish(request, settlement, new RequestResult(outcome, answer));
        }
        return outcome;
    }

    private void finish(CallerRequest request, Settlement settlement, RequestResult served) {
        tables.keys()
                .with(k -> k.finish(request, settlement, served.answer()))
                .ifPresent(waiting -> waiting.complete(served));
    }

    private static Settlement settlementOf(Outcome outcome) {
        if (outcome instanceof Outcome.Completed) {
            return Settlement.COMPLETED;
        }
        return outcome instanceof Outcome.Unknown ? Settlement.UNKNOWN : Settlement.NOT_RUN;
    }

    private Outcome answerWithoutRunning(
            IdempotencyKeyTable.Decision decision, CallerRequest request, ResponseSink sink) {
        if (decision instanceof IdempotencyKeyTable.Decision.Answered answered) {
            return replay(answered.answer(), sink);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Running) {
            return awaitRunning(request, sink);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Mismatch) {
            return new Outcome.Refused(RefusalKind.KEY_REUSED, "the key was used for another request", Duration.ZERO);
        }
        if (decision instanceof IdempotencyKeyTable.Decision.Full) {
            return new Outcome.NotRun("no further key can be remembered", FULL_RETRY);
        }
        return new Outcome.Unknown("the request was run before and its answer is not kept");
    }

    private Outcome awaitRunning(CallerRequest request, ResponseSink sink) {
        Optional<CompletableFuture<RequestResult>> running = tables.keys().with(k -> k.running(request));
        long left =
                Duration.between(tables.clock().instant(), request.deadline()).toMillis();
        if (running.isEmpty() || left <= 0) {
            return new Outcome.Unknown("the request is being run");
        }
        try {
            RequestResult served = running.get().get(left, TimeUnit.MILLISECONDS);
            if (served.isElsewhere()) {
                return serveElsewhere(home(request), request, sink);
            }
            return served.answer().isPresent() ? replay(served.answer().get(), sink) : withoutAnswer(served);
        } catch (ExecutionException | TimeoutException e) {
            return new Outcome.Unknown("the request is still being run");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome.Unknown("the request is being run");
        }
    }

    private static Outcome withoutAnswer(RequestResult served) {
        boolean completed = served.outcome() instanceof Outcome.Completed;
        return completed ? new Outcome.Unknown("the request was run and its answer is not kept") : served.outcome();
    }

    private static Outcome replay(StoredAnswer answer, ResponseSink sink) {
        try {
            sink.begin(answer.status(), answer.contentType());
            sink.write(answer.body());
            return new Outcome.Completed();
        } catch (IOException e) {
            return new Outcome.Unknown("the caller left: " + e.getMessage());
        }
    }

    /** Hands requests to other entries. */
    public interface Forwarder {
        /**
         * Hands a request to the only entry that may run it.
         *
         * @param home that entry
         * @param request the request
         * @param sink takes the answer
         * @return the outcome
         */
        Outcome forward(Incarnation home, CallerRequest request, ResponseSink sink);
    }

    /** Finds the work that a request asks for. */
    interface ExecutorSelector {
        /**
         * Finds the work.
         *
         * @param request the request
         * @return the work
         */
        RequestExecutor of(CallerRequest request);
    }
}
